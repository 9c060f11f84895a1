#!/bin/sh
# Measures cost and duration of a delivery at rising rates, with the broker on one core: docs/capacity/delivery.csv.
# --quick: low rates, writes nothing; --append: adds a run to the file.
set -eu
cd "$(dirname "$0")/.."
mvn -q -B -DskipTests package
sh deploy/archive.sh >/dev/null
. bench/classpath.sh
# The broker runs on the last core, the load generator on all others: taskset sets the masks of these two processes only.
# Without taskset the broker's JVM is told that there is one processor, which is weaker: its threads may run on several.
last=$(($(nproc) - 1))
if command -v taskset >/dev/null && [ "$last" -gt 0 ]; then
    exec taskset -c "0-$((last - 1))" java -cp "$CLASSPATH_TESTS" dockshed.capacity.DeliveryBench "$last" "$@"
fi
exec java -cp "$CLASSPATH_TESTS" dockshed.capacity.DeliveryBench -1 "$@"
