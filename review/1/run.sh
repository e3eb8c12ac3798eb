#!/bin/sh
# Plays this case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
cd "$(dirname "$0")" || exit 2
python=../../.venv/bin/python
[ -x "$python" ] || python=python3
"$python" -B case.py &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT HUP
wait "$child"
code=$?
# `wait` also returns at a signal; then the case is still ending what it started
while kill -0 "$child" 2>/dev/null; do
    wait "$child"
    code=$?
done
# an error of Python itself ends with 1, so that a broken rule has a code of its own (`fleet.BROKEN`)
case $code in
0) exit 0 ;;
11) exit 1 ;;
*) exit 2 ;;
esac
