#!/bin/sh
# A broker killed and restarted on loopback sockets, storm protection off and on.
# --quick: only the outage, 42 s; --calm: without it.
set -eu
cd "$(dirname "$0")/.."
. bench/classpath.sh
exec java -cp "$CLASSPATH_TESTS" dockshed.rig.SocketStorm "$@"
