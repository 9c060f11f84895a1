package dockshed.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.storm.Terms;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfFileTest {
    private static Terms storm(String text) {
        return OperatorConfig.read(ConfFile.read("x.conf", text)).storm();
    }

    private static List<String> errors(String text) {
        JsonFields.InvalidInputException e =
                assertThrows(JsonFields.InvalidInputException.class, () -> storm(text), text);
        return e.getMessage().lines().toList();
    }

    @Test
    void valuesHaveUnitsAndAbsentDirectivesTheirDefaults() {
        Terms terms = storm(
                "# a comment\n\nstorm {   # on\n\treturns \"jitter\"\n longest 1.5s\n retry_share 12.5% # of fresh\n"
                        + "retry_least 30/m\ncalm_after 0.1m\nnotes_every 0s\n}\n");
        assertEquals(Terms.Returns.JITTER, terms.returns());
        assertEquals(1_500_000, terms.longest());
        assertEquals(0.125, terms.retryShare());
        assertEquals(0.5, terms.retryLeast(), 1e-12);
        assertEquals(6_000_000, terms.calmAfter());
        assertEquals(0, terms.notesEvery());
        assertEquals(Terms.DEFAULTS.hold(), terms.hold());
        assertEquals(Terms.DEFAULTS, storm("storm {\n}"));
        assertNull(storm(""));
        assertNull(storm("storm {\nenabled no\n}"));
    }

    @Test
    void errorsNameFileLineKeyAndWhatWasExpected() {
        assertEquals(
                List.of(
                        "x.conf:2: soonest: expected a time from 10ms to 60s, got 5",
                        "x.conf:3: returns: expected one of calendar, jitter, fixed, got sooner",
                        "x.conf:4: retry_share: expected a share from 0% to 100%, got 120%",
                        "x.conf:5: waiting: expected a whole number, got 1.5",
                        "x.conf:6: hold: expected a time from 0s to 1s, got nothing"),
                errors("storm {\nsoonest 5\nreturns sooner\nretry_share 120%\nwaiting 1.5\nhold\n}").stream()
                        .sorted()
                        .toList());
        assertTrue(
                errors("storm {\nholdd 1s\n}").get(0).startsWith("x.conf:2: holdd: expected one of enabled, returns,"));
        assertTrue(errors("strom {\n}")
                .get(0)
                .startsWith("x.conf:1: strom: expected one of storm, fleet, rollout, got an unknown"));
        assertEquals(
                List.of("x.conf:3: hold: expected it only once, first given in line 2, got it again"),
                errors("storm {\nhold 1s\nhold 1s\n}"));
        assertEquals(
                List.of("x.conf:1: storm: expected a closing brace, got the end of the file"),
                errors("storm {\nhold 1s"));
        assertEquals(List.of("x.conf:1: storm: expected a section: 'storm {', got on"), errors("storm on"));
        assertEquals(List.of("x.conf:1: }: expected an open section, got }"), errors("}"));
        assertEquals(
                List.of("x.conf:2: hold: expected a closing quote, got the end of the line"),
                errors("storm {\nhold \"1s\n}"));
        assertEquals(
                List.of("x.conf:2: soonest: expected at most longest, got 5s"),
                errors("storm {\nsoonest 5s\nlongest 2s\n}"));
        assertEquals(
                List.of("x.conf:2: hold: expected a time from 0s to 1s, got 1s 2s"), errors("storm {\nhold 1s 2s\n}"));
    }

    @Test
    void garbageAndTruncatedFilesGiveErrorsOrDefaults() throws Exception {
        String complete = Files.readString(Path.of("deploy/dockshed.conf"));
        for (int i = 0; i < complete.length(); i++) {
            try {
                Terms terms = storm(complete.substring(0, i));
                assertNull(terms, "truncated at " + i + ": a section without its end is not applied");
            } catch (JsonFields.InvalidInputException e) {
                assertTrue(e.getMessage().startsWith("x.conf:"), e.getMessage());
            }
            if (complete.startsWith("}", i)) {
                break;
            }
        }
        SplittableRandom random = new SplittableRandom(5);
        String alphabet = "storm{}\"\\# \n\thold1%ms/0.";
        for (int i = 0; i < 5000; i++) {
            StringBuilder text = new StringBuilder();
            for (int n = random.nextInt(40); n > 0; n--) {
                text.append(alphabet.charAt(random.nextInt(alphabet.length())));
            }
            try {
                storm(text.toString());
            } catch (JsonFields.InvalidInputException e) {
                assertTrue(e.getMessage().startsWith("x.conf:"), text + ": " + e.getMessage());
            }
        }
    }

    @Test
    void filesThatAreNotTextAreRefused(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("c.conf");
        byte[] truncated = "storm { # ü".getBytes(StandardCharsets.UTF_8);
        Files.write(file, java.util.Arrays.copyOf(truncated, truncated.length - 1)); // truncated within a character
        assertTrue(assertThrows(JsonFields.InvalidInputException.class, () -> OperatorConfig.load(file.toString()))
                .getMessage()
                .contains("UTF-8"));
        Files.write(file, new byte[ConfFile.MAX_FILE_BYTES + 1]);
        assertTrue(assertThrows(JsonFields.InvalidInputException.class, () -> OperatorConfig.load(file.toString()))
                .getMessage()
                .contains("longer"));
        assertThrows(
                JsonFields.InvalidInputException.class,
                () -> OperatorConfig.load(dir.resolve("none").toString()));
        assertTrue(assertThrows(
                        JsonFields.InvalidInputException.class,
                        () -> ConfFile.read("x.conf", "a {\n".repeat(20)).throwIfErrors())
                .getMessage()
                .contains("nested sections"));
    }

    @Test
    void deployedFileHasTheDefaults() {
        assertEquals(Terms.DEFAULTS, OperatorConfig.load("deploy/dockshed.conf").storm());
    }

    @Test
    void renamedDirectiveIsRefusedWithItsNewName() {
        assertEquals(
                List.of(
                        "x.conf:2: floor: was renamed to guaranteed_share",
                        "x.conf:3: shares: was renamed to leases",
                        "x.conf:4: cut: was renamed to load_shedding",
                        "x.conf:5: probes: was renamed to health_probes"),
                errors("fleet {\nfloor 50%\nshares yes\ncut yes\nprobes yes\n}"));
    }
}
