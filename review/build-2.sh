#!/usr/bin/env bash
# Prepares the cases 6 to 10, after the build of the deploy file. The stand-ins are Python files of
# `review/common-2/` and need no building. Some cases switch on what the operators' file enables, for which
# the project declares msgspec (`pip install .[fleet]`): it is put beside the build, for the cases alone.
set -euo pipefail
cd "$(dirname "$0")/.."
target=build/review-2/packages
python=.venv/bin/python
test -x "$python" || { echo "run the build of the deploy file first" >&2; exit 2; }
works() { PYTHONPATH="$target" "$python" -c 'import msgspec' 2>/dev/null; }
if ! works; then
  rm -rf "$target"
  mkdir -p "$target"
  pinned=$(grep '^msgspec==' requirements-tools.txt || echo msgspec)
  "$python" -m pip install -q --disable-pip-version-check --no-deps --target "$target" "$pinned" || true
fi
# without the registry: what another environment of the project has
for found in .venv-dev/lib/python*/site-packages .ci-venv/lib/python*/site-packages; do
  if ! works && test -d "$found/msgspec"; then
    rm -rf "$target/msgspec"
    cp -r "$found/msgspec" "$target/"
  fi
done
PYTHONPATH="$target" "$python" -c 'import msgspec; print("msgspec", msgspec.__version__)'
"$python" -m py_compile review/common-2/*.py && rm -rf review/common-2/__pycache__
