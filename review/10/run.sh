#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not be run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 exec python3 review/10/case.py
