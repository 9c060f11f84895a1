package dockshed.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The built jar as a process, with the JVM limits of the platform's {@code run} line; its log shows whom it lists. */
final class RealBroker {
    private static final Pattern MEMBERSHIP_CHANGE = Pattern.compile(
            "(?<time>[0-9:.]{12}) .* present=\\d+ lost=\\[(?<lost>[^]]*)] joined=\\[(?<joined>[^]]*)] .* fleet");
    private static final Pattern SCOPE_CHANGE = Pattern.compile(
            "(?<time>[0-9:.]{12}) .* zone=\\S+ scope=(?<scope>\\d+) known=(?<known>true|false) .* fleet zone");
    private static final Pattern SERVING = Pattern.compile(".*serving: name=.* listen=/([0-9.]+):(\\d+) .*");
    private static final long START_TIMEOUT_SECONDS = 30;

    private final int number;
    private final Visibility visibility;
    private final Process process;
    private final CompletableFuture<InetSocketAddress> serving = new CompletableFuture<>();
    private final List<MembershipChange> changes = new ArrayList<>();
    private int errors;

    RealBroker(int number, Visibility visibility, Path jar, Path config, Path operatorFile, ProcessGuard guard)
            throws IOException {
        this.number = number;
        this.visibility = visibility;
        ProcessBuilder builder = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Djava.net.preferIPv4Stack=true",
                        "-XX:+UseSerialGC",
                        "-Xms32m",
                        "-Xmx64m",
                        "-Xss512k",
                        "-XX:MaxDirectMemorySize=16m",
                        "-XX:ReservedCodeCacheSize=24m",
                        "-XX:MaxMetaspaceSize=40m",
                        "-XX:TieredStopAtLevel=1",
                        "-Xshare:auto",
                        "-jar",
                        jar.toString(),
                        "serve",
                        "--conf",
                        operatorFile.toString())
                .redirectErrorStream(true);
        builder.environment().put("EDGE_CONFIG", config.toString());
        process = guard.register(builder.start());
        Thread reader = new Thread(this::readLog, "log of broker " + number);
        reader.setDaemon(true);
        reader.start();
    }

    private void readLog() {
        String last = "";
        try (BufferedReader log =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                last = line;
                readLine(line);
            }
        } catch (IOException e) {
            // the process has ended
        }
        serving.completeExceptionally(new IllegalStateException("broker " + number + " ended; last log line: " + last));
    }

    private void readLine(String line) {
        Matcher at = SERVING.matcher(line);
        if (at.matches()) {
            serving.complete(new InetSocketAddress(at.group(1), Integer.parseInt(at.group(2))));
            return;
        }
        Matcher change = MEMBERSHIP_CHANGE.matcher(line);
        Matcher scope = SCOPE_CHANGE.matcher(line);
        synchronized (changes) {
            errors += line.contains(" ERROR ") ? 1 : 0;
            if (change.matches()) {
                add(change, ranges(change.group("lost")), ranges(change.group("joined")));
            } else if (scope.matches()) {
                String subject = Integer.toString(visibility.subjectOfScope(Integer.parseInt(scope.group("scope"))));
                boolean known = scope.group("known").equals("true");
                add(scope, known ? "" : subject, known ? subject : "");
            }
        }
    }

    private void add(Matcher line, String lost, String found) {
        changes.add(new MembershipChange(unixMillis(LocalTime.parse(line.group("time"))), number, lost, found));
    }

    /** Unix time of a log line, which has only the time of day: the latest such time that is no more than a minute ahead. */
    private static long unixMillis(LocalTime time) {
        ZoneId zone = ZoneId.systemDefault();
        LocalDateTime at = LocalDate.now(zone).atTime(time);
        LocalDateTime soon = LocalDateTime.now(zone).plusMinutes(1);
        return (at.isAfter(soon) ? at.minusDays(1) : at)
                .atZone(zone)
                .toInstant()
                .toEpochMilli();
    }

    /** A list such as {@code 3, 4, 7} in the form of {@link BrokerRanges}. */
    private static String ranges(String list) {
        BitSet brokers = new BitSet();
        for (String broker : list.split(",")) {
            if (!broker.isBlank()) {
                brokers.set(Integer.parseInt(broker.trim()));
            }
        }
        return BrokerRanges.format(brokers);
    }

    /**
     * Waits until the broker serves, and returns the address for viewers.
     *
     * @throws java.util.concurrent.CompletionException if it ended, or does not serve within the time limit
     */
    InetSocketAddress awaitServing() {
        return serving.orTimeout(START_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    /** Membership changes logged since the last call. */
    List<MembershipChange> collect() {
        synchronized (changes) {
            List<MembershipChange> since = List.copyOf(changes);
            changes.clear();
            return since;
        }
    }

    /** Lines of level ERROR in its log. */
    int errors() {
        synchronized (changes) {
            return errors;
        }
    }

    long pid() {
        return process.pid();
    }

    /** CPU time of the process; zero if the system does not tell it, as after its end. */
    Duration cpu() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Ends the process without notice, and waits for its exit. */
    void kill() {
        process.destroyForcibly();
        process.onExit().join();
    }

    /** Sends TERM, STOP or CONT to this process only. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }
}
