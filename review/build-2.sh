#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the dispatcher. Their stand-ins are Python 3 with nothing but its standard
# library (review/rig-2/rig.py), so there is nothing to compile: this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import rig'
