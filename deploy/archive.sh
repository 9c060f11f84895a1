# Archives the classes of a broker in target/dockshed.jsa: plays one session with the JVM's limits of `run` and writes the
# classes that were loaded at the exit. Without the file, or with one of another JVM, a broker starts as well, only more
# slowly; so a failure here does not fail the build.
cd "$(dirname "$0")/.." || exit 0
rm -f target/dockshed.jsa
flags=$(sed -n 's/^run = "exec java \(.*\) -jar .*/\1/p' deploy/balancer.toml | sed 's/-XX:SharedArchiveFile=[^ ]*//')
java $flags -XX:ArchiveClassesAtExit=target/dockshed.jsa -jar target/dockshed.jar rehearse deploy/rehearsal.json \
    > target/rehearsal.log 2>&1 || echo "no class archive: see target/rehearsal.log" >&2
exit 0
