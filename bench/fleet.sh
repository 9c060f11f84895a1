#!/bin/sh
# Overload with fleet coordination off, on, and with an exchange without delay; the last line has the figures.
# --quick: two seeds.
set -eu
cd "$(dirname "$0")/.."
. bench/classpath.sh
exec java -Dorg.slf4j.simpleLogger.defaultLogLevel=error -cp "$CLASSPATH_TESTS" dockshed.rig.FleetBench "$@"
