#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into review/build.
set -e
cd "$(dirname "$0")"
mkdir -p build
for name in two_dark late_order drain_tx quota; do
    g++ -std=c++20 -O1 -o "build/$name" "standin/$name.cpp" -pthread &
    compilers="$compilers $!"
done
for compiler in $compilers; do
    wait "$compiler"
done
