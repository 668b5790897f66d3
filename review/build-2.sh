#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the build of the deploy
# file: their stand-ins, which need only Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q fleet_parts.py ./[6-9]
