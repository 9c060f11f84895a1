#!/bin/sh
# Builds the stand-ins and drivers of all cases into target/review. Needs a JDK 17 only; run after the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review
exec javac --release 17 -Xlint:all -d target/review review/rig/*.java
