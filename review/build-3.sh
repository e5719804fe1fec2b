#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start: the nodes' libraries in
# target/deps, which the build of the deploy file has filled, serve the stand-ins, too.
cd "$(dirname "$0")/.." || exit 2
build="$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
sh -c "$build" || exit 1
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import sys

sys.path.insert(0, "review")
import rig_3  # noqa: F401  # the stand-ins can be imported

print("stand-ins ready")
PY
