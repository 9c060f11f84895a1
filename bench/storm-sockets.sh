#!/bin/sh
# A broker killed and started again on loopback sockets, the storm part off and on. --quick: the outage alone, 42 s; --calm: without it.
set -eu
cd "$(dirname "$0")/.."
. bench/classpath.sh
exec java -cp "$CLASSPATH_TESTS" dockshed.rig.SocketStorm "$@"
