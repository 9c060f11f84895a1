# Keeps the classes of a broker ready in target/dockshed.jsa: one session is played, with the JVM's limits of `run`, and
# what it loaded is written down at its end. Without the file, or with one of another JVM, a broker starts all the same,
# only later; so nothing that fails here fails the build.
cd "$(dirname "$0")/.." || exit 0
rm -f target/dockshed.jsa
flags=$(sed -n 's/^run = "exec java \(.*\) -jar .*/\1/p' deploy/balancer.toml | sed 's/-XX:SharedArchiveFile=[^ ]*//')
java $flags -XX:ArchiveClassesAtExit=target/dockshed.jsa -jar target/dockshed.jar rehearse deploy/rehearsal.json \
    > target/rehearsal.log 2>&1 || echo "no class archive: see target/rehearsal.log" >&2
exit 0
