# Builds the test classes and sets CLASSPATH_TESTS, the class path of the measurements.
mvn -q -B test-compile
mvn -q -B dependency:build-classpath -Dmdep.outputFile=target/classpath.txt >/dev/null
CLASSPATH_TESTS="target/classes:target/test-classes:$(cat target/classpath.txt)"
