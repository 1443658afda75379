#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and on start. They are
# plain Python of the standard library, so this only compiles them; the
# project's own stand-ins aren't used.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q harness-2
