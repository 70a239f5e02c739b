#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/build/drain_tx ] && [ -x target/bin/catkinlock ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 118 review/build/drain_tx review/3/record.txt "$folder" "${TROUBLE:-1}"
outcome=$?
case $outcome in 0 | 1) exit $outcome ;; *) exit 2 ;; esac
