#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1
timeout --signal=TERM --kill-after=8 110 python3 -m review.5.case
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
