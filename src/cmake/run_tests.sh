#!/usr/bin/env bash
# Runs every test program and prints "N passed, N failed"; exits 1 if any test failed. A test that KNOWN-RED.txt lists
# as "test: NAME" is run and its result is printed, but not counted. LANES programs run at the same time, since most of
# their time is spent waiting.
set -u
build=${BUILD:-build}
lanes=${LANES:-2}
logs=$(mktemp -d)
export logs
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null)
passed=0
failed=0
binaries=("$build"/bin/case_* "$build"/bin/*_test)
printf '%s\0' "${binaries[@]}" |
    xargs -0 -P "$lanes" -n 1 sh -c '"$1" >"$logs/$(basename "$1")" 2>&1' run
for binary in "${binaries[@]}"; do
    log=$logs/$(basename "$binary")
    while read -r verdict name; do
        if grep -qxF "$name" <<<"$known"; then
            echo "known red: $name ($verdict)"
        elif [ "$verdict" = ok ]; then
            passed=$((passed + 1))
        else
            failed=$((failed + 1))
            echo "FAILED: $name"
        fi
    done < <(sed -nE 's/^\[       OK \] ([^ ]+) .*/ok \1/p; s/^\[  FAILED  \] ([^ ,]+) \([0-9]+ ms\)$/failed \1/p' "$log")
    if ! grep -q '^\[==========\].* ran\.' "$log"; then
        failed=$((failed + 1))
        echo "FAILED: $(basename "$binary") ended early"
    fi
    grep -q '^\[  FAILED' "$log" && cat "$log"
done
rm -rf "$logs"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
