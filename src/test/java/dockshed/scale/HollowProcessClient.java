package dockshed.scale;

import com.google.gson.Gson;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Starts a {@link HollowProcess} and sends it commands, each of which is answered by one line. */
final class HollowProcessClient {
    private static final long ANSWER_TIMEOUT_SECONDS = 60;
    private static final String HEAP_OPTION = "-Xmx384m";
    /** Queued as an answer when the process's output has ended. */
    private static final String END_OF_OUTPUT = "failed process has ended";

    private static final Gson GSON = new Gson();

    private final String name;
    private final Process process;
    private final Writer in;
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();

    /** Starts a process; writes its specification and its log to {@code directory}. */
    HollowProcessClient(String name, HollowProcessSpec spec, Path directory, ProcessGuard guard) throws IOException {
        this.name = name;
        Path specFile = Files.writeString(directory.resolve(name + ".json"), GSON.toJson(spec));
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                HEAP_OPTION,
                "-Xss512k",
                "-Djava.net.preferIPv4Stack=true",
                "-Dorg.slf4j.simpleLogger.defaultLogLevel=error",
                "-Dorg.slf4j.simpleLogger.logFile=System.err",
                "-cp",
                System.getProperty("java.class.path"),
                HollowProcess.class.getName(),
                specFile.toString());
        builder.redirectError(directory.resolve(name + ".log").toFile());
        process = guard.register(builder.start());
        in = process.outputWriter(StandardCharsets.UTF_8);
        Thread reader = new Thread(this::readAnswers, "answers of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void readAnswers() {
        try (BufferedReader out =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                answers.add(line);
            }
        } catch (IOException e) {
            // the process has ended, which is queued below
        }
        answers.add(END_OF_OUTPUT);
    }

    /**
     * Waits until the process is ready for commands.
     *
     * @throws IllegalStateException if it ended, or is not ready within the time limit
     */
    void awaitReady() {
        awaitAnswer("start of the process");
    }

    /**
     * Sends a command and returns the answer.
     *
     * @throws IllegalStateException if the command failed, the process ended or no answer came in time
     */
    synchronized String call(String command) {
        try {
            in.write(command + "\n");
            in.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(name + ": " + command, e);
        }
        return awaitAnswer(command);
    }

    /** Sends a command and reads its answer from JSON. */
    <T> T call(String command, Class<T> type) {
        return GSON.fromJson(call(command), type);
    }

    private String awaitAnswer(String command) {
        try {
            String answer = answers.poll(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (answer == null || answer.startsWith(HollowProcess.FAILED)) {
                throw new IllegalStateException(name + ": " + command + ": " + answer);
            }
            return answer;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(name + ": " + command + ": interrupted", e);
        }
    }

    /** Sends a command to all processes; each ignores the brokers that are not its own. */
    static void callAll(List<HollowProcessClient> clients, String command) {
        clients.parallelStream().forEach(client -> client.call(command));
    }

    Process process() {
        return process;
    }

    /** Closes the process's input, which ends it, and returns its exit status. */
    int end() throws IOException, InterruptedException {
        in.close();
        if (!process.waitFor(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException(
                    name + " still runs " + ANSWER_TIMEOUT_SECONDS + " s after the end of its input");
        }
        return process.exitValue();
    }
}
