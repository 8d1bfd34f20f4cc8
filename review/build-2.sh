#!/bin/sh
# Builds the stand-ins of review/6 to review/10. They are Python programs of the standard
# library (review/lib-2); only their byte code is made here. Nodes come from the build of
# the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib-2 7 8 9
