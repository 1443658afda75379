#!/usr/bin/env bash
# Builds the stand-ins of cases 7 to 11: they are plain Python, so that is a
# check that each of their modules compiles. Needs no network and no package.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
    echo "Python 3.11 or later is needed" >&2
    exit 1
}
for module in harness-3/*.py [0-9]*/case.py; do
    [ -f "$module" ] || continue
    python3 - "$module" <<'PY'
import pathlib
import sys

path = pathlib.Path(sys.argv[1])
compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
done
