#!/bin/sh
# Measures sharing of state in a fleet with zones, on the simulated network: ages of figures, bytes, false deaths.
# Without arguments: 510 brokers in 7 zones with 1% and 20% of datagrams lost, and 1,020 in 14 scopes.
set -e
cd "$(dirname "$0")/.."
. bench/classpath.sh
measure() {
    java -Xmx3g -cp "$CLASSPATH_TESTS" dockshed.fleet.ZonedFleet "$@"
}
if [ $# -gt 0 ]; then
    measure "$@"
else
    measure 510 7 0.01 5
    measure 510 7 0.20 5
    measure 1020 7 0.01 3
fi
