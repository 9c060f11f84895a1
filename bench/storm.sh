#!/bin/sh
# Scripted outages with storm protection on and off; the last line has the figures. --quick: two seeds, under 45 s.
set -eu
cd "$(dirname "$0")/.."
. bench/classpath.sh
exec java -Dorg.slf4j.simpleLogger.defaultLogLevel=error -cp "$CLASSPATH_TESTS" dockshed.rig.StormBench "$@"
