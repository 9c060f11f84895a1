#!/bin/sh
# Fleet coordination at 510 brokers: real ones of the jar and hollow ones, scenes on sockets and on the simulated network;
# the last line has the figures. --quick: the short script, under 55 s. See docs/capacity/scale.md.
set -eu
cd "$(dirname "$0")/.."
# An existing build is reused if no source is newer, as the run has a time limit of its own.
if [ ! -f target/dockshed.jar ] || [ ! -f target/classpath.txt ] \
    || [ -n "$(find src pom.xml -newer target/dockshed.jar | head -n 1)" ]; then
    mvn -q -B -DskipTests package
    . bench/classpath.sh
fi
CLASSPATH_TESTS="target/classes:target/test-classes:$(cat target/classpath.txt)"
exec java -XX:+UseSerialGC -Xmx2g -Djava.net.preferIPv4Stack=true -Dorg.slf4j.simpleLogger.defaultLogLevel=error \
    -cp "$CLASSPATH_TESTS" dockshed.scale.ScaleBench "$@"
