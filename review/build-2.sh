#!/bin/sh
# Builds what the scripts of the second review start beside the gateways: the control plane's environment.
# Once, after the build of the deploy file, with the package mirrors at hand. The stand-ins are review/rig2/rig.py,
# which needs only Python's standard library.
set -eu
cd "$(dirname "$0")/.."
if ! cmp -s requirements-control.txt .venv-control/requirements-control.txt; then
    python3 -m venv --clear .venv-control
    .venv-control/bin/pip -q install -r requirements-control.txt
    cp requirements-control.txt .venv-control/
fi
.venv-control/bin/python -m compileall -q orchidhatch/__init__.py orchidhatch/control
