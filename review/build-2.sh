#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -pthread -o target/review-2/standin review/standin-2/main.cpp -lboost_json
