#!/usr/bin/env bash
# Builds the stand-ins of the second review: compiles them, which finds errors in them.
set -euo pipefail
cd "$(dirname "$0")/stand_ins_2"
python3 - <<'CHECK'
import pathlib

for path in sorted(pathlib.Path(".").glob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
CHECK
