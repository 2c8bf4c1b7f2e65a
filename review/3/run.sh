#!/bin/sh
# Exit status 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH="$folder/.." .venv/bin/python "$folder/case.py" "$folder" &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null' TERM INT HUP
wait "$pid"
status=$?
while kill -0 "$pid" 2>/dev/null; do
    wait "$pid"
    status=$?
done
# An error of the script itself must not look like a broken rule: Python ends with 1 on any exception.
case $status in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
