#!/bin/sh
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file. Needs nothing but the JDK.
cd "$(dirname "$0")/.." || exit 1
rm -rf target/review-2
mkdir -p target/review-2
exec javac --release 17 -encoding UTF-8 -d target/review-2 review/rig2/*.java
