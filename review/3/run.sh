#!/bin/sh
# Exit status 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH="$folder/.." exec .venv/bin/python "$folder/case.py" "$folder"
