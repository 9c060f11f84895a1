#!/bin/sh
# The control part at 510 brokers: real ones of the jar beside hollow ones, scenes on sockets and on the simulated network;
# the last line holds the figures. --quick: the short script, under 55 s. See docs/capacity/scale.md.
set -eu
cd "$(dirname "$0")/.."
# What stands built is taken as it is where no source is newer: the run has its own bound of time.
if [ ! -f target/dockshed.jar ] || [ ! -f target/classpath.txt ] \
    || [ -n "$(find src pom.xml -newer target/dockshed.jar | head -n 1)" ]; then
    mvn -q -B -DskipTests package
    . bench/classpath.sh
fi
CLASSPATH_TESTS="target/classes:target/test-classes:$(cat target/classpath.txt)"
exec java -XX:+UseSerialGC -Xmx2g -Djava.net.preferIPv4Stack=true -Dorg.slf4j.simpleLogger.defaultLogLevel=error \
    -cp "$CLASSPATH_TESTS" dockshed.scale.ScaleBench "$@"
