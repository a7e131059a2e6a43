#!/usr/bin/env bash
# Check that the stand-ins and cases compile; they are Python and need no build.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
