#!/usr/bin/env bash
# Builds what the scripts start. They are Python and need only the libraries that
# the deploy file's build puts under target/deps; here they are compiled, and it is
# checked that each stand-in can be imported.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 -m compileall -q packages review
packages=packages/fescueshunt/src:packages/fescueshunt-wire/src
packages=$packages:packages/fescueshunt-proxy/src:packages/fescueshunt-standins/src
PYTHONPATH=target/deps:$packages:review python3 -c "
from support import hosts, links, platform, promotion_service, scenario, sessions"
