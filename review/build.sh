#!/bin/sh
# Builds what the cases of this folder start beside the program. Run it after the build of the deploy file.
# The stand-ins are Python and need the standard library only, so they are just compiled.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
