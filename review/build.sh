#!/bin/sh
# Builds the stand-ins of the cases: plain Python on the environment that the deploy file's `build` makes.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
