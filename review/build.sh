#!/usr/bin/env bash
# Builds what the cases start, after the build of the deploy file. All stand-ins, the project's own
# too, are Python modules of this repository, so there is nothing to compile: each case is loaded
# once, with all stand-ins that it uses, so that a missing dependency shows here.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1
for file in review/[0-9]*/case.py; do
  module=${file%.py}
  python3 -c "from importlib import import_module; import_module('${module//\//.}')"
done
echo "review: all stand-ins load"
