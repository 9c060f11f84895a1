#!/bin/sh
# Measures cost and delay of control traffic on the simulated network in virtual time:
# docs/capacity/control.csv and fitted lines.
# control.sh [--quick] [--append] [SERIES[:BROKERS]]...
# --quick: small fleets, writes nothing, under 30 s; --append: adds a run to the file.
set -eu
cd "$(dirname "$0")/.."
. bench/classpath.sh
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Xms512m -Xmx3g -cp "$CLASSPATH_TESTS" dockshed.capacity.ControlCapacity "$@"
