#!/bin/sh
# Builds the stand-ins of the scripts: they need only Python 3.11 and its library.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile lib/standins.py */case.py
