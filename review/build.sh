#!/usr/bin/env bash
# The stand-ins are Python 3 (3.11 or later, standard library alone); this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"; import tomllib'
python3 -m py_compile ./rig/*.py ./*/case.py
