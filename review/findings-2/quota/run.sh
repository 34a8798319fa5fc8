#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../../.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
exec python3 review/findings-2/quota/run.py
