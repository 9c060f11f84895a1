#!/bin/sh
# Measures the cost of a set-up in the decision module, by edge servers, lessons and sessions:
# docs/capacity/setup.csv and fitted lines.
# --quick: few batches, writes nothing, under 30 s; --append: adds a run to the file.
set -eu
cd "$(dirname "$0")/.."
. bench/classpath.sh
. bench/run-flags.sh
exec java $RUN_FLAGS -cp "$CLASSPATH_TESTS" dockshed.capacity.SetupCapacity "$@"
