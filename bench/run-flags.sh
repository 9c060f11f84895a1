# Sets RUN_FLAGS: the JVM options of the run line in deploy/balancer.toml, without its class archive,
# which contains no tests.
RUN_FLAGS=$(sed -n 's/^run = "exec java \(.*\) -jar .*/\1/p' deploy/balancer.toml | sed 's/ -Xshare:[^ ]*//; s/ -XX:SharedArchiveFile=[^ ]*//')
test -n "$RUN_FLAGS"
