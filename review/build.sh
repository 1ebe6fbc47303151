#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are Python of the standard library, so it checks them.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
