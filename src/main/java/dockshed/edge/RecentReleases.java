package dockshed.edge;

import dockshed.Director.Outcome;
import java.util.LinkedHashMap;
import java.util.Optional;

/**
 * Releases that edge servers have sent lately. After a restart an edge server sends the releases that it could not send
 * before on the first connection that is opened, which may be before the viewers' side has named the sessions: they are
 * over when they are taken over.
 *
 * <p>Does no I/O. Times are in microseconds.
 */
final class RecentReleases {
    /** How long a release is remembered: after that time its session counts as lost in any case. */
    static final long RETENTION_US = 8_000_000;
    /** The oldest releases beyond this number are forgotten. */
    static final int MAX_RELEASES = 1000;
    /** Longer names are not remembered: a session's has 16 digits. */
    static final int MAX_NAME_LENGTH = 64;

    private record Release(String serverId, Outcome outcome, long receivedAt) {}

    private final LinkedHashMap<String, Release> releases = new LinkedHashMap<>(); // by session, the oldest first

    /** Remembers the release of a session. */
    void add(long now, String serverId, String session, Outcome outcome) {
        if (session.length() > MAX_NAME_LENGTH) {
            return;
        }
        releases.remove(session);
        releases.put(session, new Release(serverId, outcome, now));
        while (releases.size() > MAX_RELEASES || isExpired(now, oldest())) {
            releases.remove(releases.keySet().iterator().next());
        }
    }

    /** How the session has ended according to a release that this server has sent lately; empty if it has sent none. */
    Optional<Outcome> find(long now, String serverId, String session) {
        Release release = releases.get(session);
        return release == null || isExpired(now, release) || !release.serverId.equals(serverId)
                ? Optional.empty()
                : Optional.of(release.outcome);
    }

    private Release oldest() {
        return releases.values().iterator().next();
    }

    private static boolean isExpired(long now, Release release) {
        return now - release.receivedAt > RETENTION_US;
    }
}
