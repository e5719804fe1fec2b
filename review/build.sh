#!/usr/bin/env bash
# Builds what the scripts of the cases start: the deploy file's build, which the nodes
# and the project's stand-in of the store run from, and the stand-ins of the review.
set -eu
cd "$(dirname "$0")/.."
build="$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')"
sh -c "$build"
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/1" PYTHONDONTWRITEBYTECODE=1
python3 -c 'import rig, sassafrasgrade.nodes'
