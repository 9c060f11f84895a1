#!/bin/sh
# Every figure that docs/CAPACITY.md works out, computed from docs/capacity; --write puts them into the page. Last: what disagrees.
set -eu
cd "$(dirname "$0")/.."
. bench/classpath.sh
exec java -cp "$CLASSPATH_TESTS" dockshed.capacity.CapacityPageWriter "$@"
