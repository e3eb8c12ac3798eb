#!/usr/bin/env bash
# Prepares the cases 6 to 10, after the build of the deploy file. The stand-ins are Python files of
# `review/common-2/` and need no building. Some cases switch on what the operators' file enables, for which
# the project declares msgspec (`pip install .[fleet]`): it is put beside the build, for the cases alone.
set -euo pipefail
cd "$(dirname "$0")/.."
target=build/review-2/packages
python=.venv/bin/python
test -x "$python" || { echo "run the build of the deploy file first" >&2; exit 2; }
if ! PYTHONPATH="$target" "$python" -c 'import msgspec' 2>/dev/null; then
  rm -rf "$target"
  mkdir -p "$target"
  declared=$(sed -n 's/^fleet = \["\(.*\)"\]$/\1/p' pyproject.toml)
  pinned=$(grep '^msgspec==' requirements-tools.txt || echo "${declared:-msgspec}")
  # without the registry: what the development environment has
  "$python" -m pip install -q --disable-pip-version-check --no-deps --target "$target" "$pinned" || {
    found=$(ls -d .venv-dev/lib/python*/site-packages/msgspec 2>/dev/null | head -1)
    test -n "$found" && cp -r "$found" "$target/"
  }
fi
PYTHONPATH="$target" "$python" -c 'import msgspec; print("msgspec", msgspec.__version__)'
"$python" -m py_compile review/common-2/*.py && rm -rf review/common-2/__pycache__
