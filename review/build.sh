#!/bin/sh
# Builds the stand-ins of the review's cases. They are Python programs that use the standard library alone, so
# this only checks that the interpreter of the deploy file's build can read them.
cd "$(dirname "$0")" || exit 2
python=../.venv/bin/python
[ -x "$python" ] || python=python3
for file in standins/*.py [0-9]/case.py; do
    "$python" -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
