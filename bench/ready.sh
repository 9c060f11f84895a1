#!/bin/sh
# Measures how long a hundred brokers that start together take to be ready while the list is unreachable:
# ready.sh [BROKERS [CORES]].
set -eu
cd "$(dirname "$0")/.."
mvn -q -B -DskipTests package
sh deploy/archive.sh >/dev/null
. bench/classpath.sh
exec java -cp "$CLASSPATH_TESTS" dockshed.rig.ReadyBench "$@"
