#!/bin/sh
# Builds the stand-ins of the scripts in review/7 to review/9. They are Python and use
# the libraries in target/deps, so that only their modules are checked.
root="$(cd "$(dirname "$0")/.." && pwd)"
cd "$root" || exit 1
PYTHONPATH="$root/target/deps:$root:$root/review" PYTHONDONTWRITEBYTECODE=1 \
    python3 -c "import rig_2"
