package dockshed.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dockshed.Director.Outcome;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Which releases are still known when their session is taken over. */
class RecentReleasesTest {
    private final RecentReleases releases = new RecentReleases();

    @Test
    void aReleaseIsKnownForItsServerAlone() {
        releases.add(0, "a", "v1", Outcome.OK);
        assertEquals(Optional.of(Outcome.OK), releases.find(1, "a", "v1"));
        assertEquals(Optional.empty(), releases.find(1, "b", "v1"));
        assertEquals(Optional.empty(), releases.find(1, "a", "v2"));
    }

    @Test
    void aReleaseIsForgottenAfterItsTime() {
        releases.add(0, "a", "v1", Outcome.OK);
        assertEquals(Optional.of(Outcome.OK), releases.find(RecentReleases.RETENTION_US, "a", "v1"));
        assertEquals(Optional.empty(), releases.find(RecentReleases.RETENTION_US + 1, "a", "v1"));
    }

    @Test
    void aRepeatedReleaseCountsFromTheLastTime() {
        releases.add(0, "a", "v1", Outcome.RESET);
        releases.add(RecentReleases.RETENTION_US, "a", "v1", Outcome.OK);
        assertEquals(Optional.of(Outcome.OK), releases.find(RecentReleases.RETENTION_US + 1, "a", "v1"));
    }

    @Test
    void aNameThatNoSessionHasIsNotRemembered() {
        // Guards against memory taken by an edge server that sends garbled ids of up to a whole line.
        String tooLong = "v".repeat(RecentReleases.MAX_NAME_LENGTH + 1);
        releases.add(0, "a", tooLong, Outcome.OK);
        assertEquals(Optional.empty(), releases.find(0, "a", tooLong));
    }

    @Test
    void theOldestAreForgottenBeyondTheBound() {
        for (int i = 0; i <= RecentReleases.MAX_RELEASES; i++) {
            releases.add(0, "a", "v" + i, Outcome.OK);
        }
        assertEquals(Optional.empty(), releases.find(0, "a", "v0"));
        assertEquals(Optional.of(Outcome.OK), releases.find(0, "a", "v1"));
        assertEquals(Optional.of(Outcome.OK), releases.find(0, "a", "v" + RecentReleases.MAX_RELEASES));
    }
}
