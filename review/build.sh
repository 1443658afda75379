#!/usr/bin/env bash
# The stand-ins are plain Python without dependencies: this compiles them, which
# shows that the machine's python3 can run them. Nothing is downloaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
PYTHONPYCACHEPREFIX=../target/review python3 -m compileall -q .
