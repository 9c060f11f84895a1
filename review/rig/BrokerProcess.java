package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A broker, started with the `run` command of the deploy file from the repository's root. */
final class BrokerProcess {
    private final Process process;
    private final CountDownLatch serving = new CountDownLatch(1);

    BrokerProcess(Case owner, String name, String config, String listen, String options) throws IOException {
        Path file = owner.temporary.resolve(name + ".json");
        Files.writeString(file, config);
        Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run command");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1) + options).redirectErrorStream(true);
        builder.environment().put("EDGE_CONFIG", file.toString());
        builder.environment().put("EDGE_NAME", name);
        builder.environment().put("EDGE_LISTEN", listen);
        process = builder.start();
        Thread reader = new Thread(() -> {
            try (BufferedReader log =
                    new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
                for (String line = log.readLine(); line != null; line = log.readLine()) {
                    owner.record("log %s: %s", name, line);
                    if (line.contains("serving: name=")) {
                        serving.countDown();
                    }
                }
            } catch (IOException e) {
                owner.record("log %s ended: %s", name, e);
            }
        });
        reader.setDaemon(true);
        reader.start();
    }

    void awaitServing() throws InterruptedException {
        if (!serving.await(30, TimeUnit.SECONDS)) {
            throw new IllegalStateException("broker not ready within 30 s");
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void kill() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
