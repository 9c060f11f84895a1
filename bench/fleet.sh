#!/bin/sh
# Overload handled by the brokers as one, the part off, on, and told all at once; the last line holds the figures. --quick: two seeds.
set -eu
cd "$(dirname "$0")/.."
. bench/classpath.sh
exec java -Dorg.slf4j.simpleLogger.defaultLogLevel=error -cp "$CLASSPATH_TESTS" dockshed.rig.FleetBench "$@"
