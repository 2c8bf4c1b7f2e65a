#!/bin/sh
# Builds the stand-ins of the review's cases, after the deploy file's `build`. They need the standard library alone.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
