#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs that use
# the standard library and aiohttp of target/deps, so they are only compiled.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps/aiohttp ] || {
    echo "run the build of the deploy file first" >&2
    exit 1
}
PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q \
    review/6 review/9 review/10
PYTHONPATH=target/deps:review/6 python3 -c "import rig_2.cell"
