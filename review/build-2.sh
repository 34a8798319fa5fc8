#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start. The stand-ins and clients are
# Python and need the standard library only; here they are compiled, and it is
# checked that each can be imported. The hosts need the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 -m compileall -q packages review
PYTHONPATH=review python3 -c "
from support2 import backends, clients, commits, hosts, http_server
from support2 import lost_commits, record, scene, store"
