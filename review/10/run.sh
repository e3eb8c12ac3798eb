#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
python=$here/../../.venv/bin/python
test -x "$python" || { echo "not run: the build of the deploy file is missing"; exit 2; }
exec "$python" -B "$here/case.py"
