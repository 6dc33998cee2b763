#!/usr/bin/env bash
# Checks that the stand-ins of the cases compile. They are plain Python that the
# cases run from their sources, and need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")"
for source in standins/*.py [0-9]*/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
