#!/bin/sh
# Computes every calculated figure of docs/CAPACITY.md from docs/capacity; --write writes them into the page.
# Prints the differences last.
set -eu
cd "$(dirname "$0")/.."
. bench/classpath.sh
exec java -cp "$CLASSPATH_TESTS" dockshed.capacity.CapacityPageWriter "$@"
