#!/usr/bin/env bash
# Exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:review${PYTHONPATH:+:$PYTHONPATH}"
exec python3 review/5/case.py
