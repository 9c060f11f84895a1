#!/bin/sh
# Measures the cost of a connection, idle and with a session, and of a mass reconnect:
# docs/capacity/connection.csv and reconnect.csv.
# --quick: small sizes, writes nothing; --append: adds a run to the files.
set -eu
cd "$(dirname "$0")/.."
mvn -q -B -DskipTests package
sh deploy/archive.sh >/dev/null
. bench/classpath.sh
exec java -cp "$CLASSPATH_TESTS" dockshed.capacity.ConnectionBench "$@"
