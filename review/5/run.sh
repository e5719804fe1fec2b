#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
root="$here"
while [ ! -f "$root/deploy/system.toml" ]; do root="$(dirname "$root")"; done
cd "$root" || exit 2
export PYTHONPATH="$root/target/deps:$root:$root/review" PYTHONDONTWRITEBYTECODE=1
exec timeout -s KILL 119 python3 "$here/case.py"
