#!/usr/bin/env bash
# Checks the stand-ins that the cases 6 to 10 start: they need Python's standard
# library alone, so that compiling them is all there is to build.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=$(mktemp -d) python3 -m compileall -q standins_2 6 7 8 9
