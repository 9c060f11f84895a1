package dockshed.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.StringWriter;
import java.lang.reflect.Method;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against scenarios that miss a broken rule: each mutant breaks one rule of the rollout, and the scenarios have
 * to detect it. A mutant is the package's sources with one or more texts replaced, compiled together with the
 * simulation and loaded by its own class loader.
 */
class RolloutMutantsTest {
    private static final Path MAIN = Path.of("src/main/java/dockshed/rollout");
    private static final Path TEST = Path.of("src/test/java/dockshed/rollout");
    private static final List<String> SIMULATION =
            List.of("MemoryStorage.java", "RolloutSimulation.java", "RolloutScenarios.java");
    /** Number of seeds tried until one shows the fault. */
    private static final int SEEDS = 60;

    @TempDir
    Path dir;

    record Change(String file, String original, String replacement) {}

    record Mutant(String name, List<Change> changes) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static Mutant mutant(String name, String file, String original, String replacement) {
        return new Mutant(name, List.of(new Change(file, original, replacement)));
    }

    static Stream<Mutant> mutants() {
        return Stream.of(
                mutant("a voter votes twice", "Voter", "&& proposal.id().version() > highest()", ""),
                mutant("less than a majority decides", "RolloutSettings", "voters.size() / 2 + 1", "voters.size() / 2"),
                mutant("the digest is not checked", "Download", "configuration.id().equals(id)", "true"),
                new Mutant(
                        "an older version over a newer one",
                        List.of(
                                new Change("Learner", "configuration.version() <= version()", "false"),
                                new Change("Learner", "configuration.version() > highestHandled()", "true"),
                                new Change("Learner", "chosenAbove(highestHandled())", "chosenAbove(0)"),
                                new Change("Learner", "(number, highestHandled())", "(number, 0)"))),
                mutant(
                        "a vote is answered and not made durable",
                        "Voter",
                        "context.storage().saveVoter(next);",
                        "if (next.votes().isEmpty()) { context.storage().saveVoter(next); }"),
                mutant(
                        "a vote is answered though it could not be saved",
                        "Voter",
                        "return false;\n        }\n    }\n}",
                        "record = next;\n return true;\n        }\n    }\n}"),
                mutant(
                        "a voter without its record votes at once",
                        "Voter",
                        "phase = VoterPhase.RECOVERING;",
                        "phase = VoterPhase.VOTING;"),
                mutant(
                        "a recovering voter does not wait",
                        "Voter",
                        "(VoterRound.DURATION_US * (1 + 2 * VoterRound.MAX_CLOCK_DRIFT))",
                        "0"),
                mutant(
                        "a recovered voter ignores the versions that others reported",
                        "Voter",
                        "Math.max(highest(), recovery.highest())",
                        "highest()"));
    }

    @ParameterizedTest
    @MethodSource("mutants")
    void eachIsFound(Mutant mutant) throws Exception {
        Method all = compileMutant(mutant.changes());
        for (long seed = 0; seed < SEEDS; seed++) {
            if (runScenarios(all, seed).isPresent()) {
                return;
            }
        }
        throw new AssertionError("no scenario finds: " + mutant.name());
    }

    @Test
    void theSoundProgramPassesTheSameWay() throws Exception {
        Method all = compileMutant(List.of());
        for (long seed = 0; seed < 3; seed++) {
            assertEquals(Optional.empty(), runScenarios(all, seed));
        }
    }

    private static Optional<?> runScenarios(Method all, long seed) throws ReflectiveOperationException {
        return (Optional<?>) all.invoke(null, seed);
    }

    /** Compiles the package with the changes and returns the method that runs all scenarios. */
    private Method compileMutant(List<Change> changes) throws IOException, ReflectiveOperationException {
        List<String> sources = new ArrayList<>();
        try (Stream<Path> files = Files.list(MAIN)) {
            for (Path file : files.filter(path -> path.toString().endsWith(".java"))
                    .sorted()
                    .toList()) {
                sources.add(copySource(file, changes));
            }
        }
        for (String file : SIMULATION) {
            sources.add(copySource(TEST.resolve(file), List.of()));
        }
        Path classes = Files.createDirectories(dir.resolve("classes"));
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        StringWriter faults = new StringWriter();
        try (var manager = compiler.getStandardFileManager(null, null, null)) {
            boolean compiled = compiler.getTask(
                            faults,
                            manager,
                            null,
                            List.of("-d", classes.toString(), "-proc:none"),
                            null,
                            manager.getJavaFileObjects(sources.toArray(String[]::new)))
                    .call();
            assertTrue(compiled, "the mutant does not compile: " + faults);
        }
        URLClassLoader loader =
                new URLClassLoader(new URL[] {classes.toUri().toURL()}, ClassLoader.getPlatformClassLoader());
        return loader.loadClass("dockshed.rollout.RolloutScenarios").getMethod("all", long.class);
    }

    private String copySource(Path file, List<Change> changes) throws IOException {
        String text = Files.readString(file);
        for (Change change : changes) {
            if (file.getFileName().toString().equals(change.file() + ".java")) {
                assertTrue(text.contains(change.original()), change.file() + " has no " + change.original());
                text = text.replace(change.original(), change.replacement());
            }
        }
        Path copy = dir.resolve(file.getFileName().toString());
        Files.writeString(copy, text);
        return copy.toString();
    }
}
