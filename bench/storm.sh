#!/bin/sh
# Scripted outages with the storm part on and off; the last line holds the figures. --quick: two seeds, under 45 s.
set -eu
cd "$(dirname "$0")/.."
. bench/classpath.sh
exec java -Dorg.slf4j.simpleLogger.defaultLogLevel=error -cp "$CLASSPATH_TESTS" dockshed.rig.StormBench "$@"
