#!/usr/bin/env bash
# Runs the tests in two passes, both always: those without child processes with $1 workers, then those with
# with $2; further arguments are pytest's. Ends with the closing lines of both, and fails if either does.
set -uo pipefail
said=$(mktemp -d)
trap 'rm -r "$said"' EXIT
python -m pytest -n "$1" --dist worksteal "${@:3}" -m "not processes" | tee "$said/others"
others=$?
python -m pytest -n "$2" --dist worksteal "${@:3}" -m processes | tee "$said/processes"
processes=$?
for pass in others processes; do
    echo "== $pass: exit code ${!pass}"
    grep -E '^(FAILED|ERROR|known red)|^(=+ )?[0-9]+ [a-z]+.* in [0-9.]+s|no tests ran' "$said/$pass" || true
done
[ "$others" -eq 0 ] && [ "$processes" -eq 0 ]
