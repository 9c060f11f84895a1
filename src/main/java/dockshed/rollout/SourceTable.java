package dockshed.rollout;

import java.util.ArrayList;
import java.util.List;

/** The latest announcements of other brokers, and the brokers that are ignored for a while. */
final class SourceTable {
    /** Maximum number of announcements kept, those of the brokers that sent last. */
    static final int MAX_ANNOUNCEMENTS = 256;
    /** Maximum number of brokers avoided at the same time. */
    static final int MAX_AVOIDED_BROKERS = 64;
    /** Time for which a broker is avoided, in microseconds. */
    static final long AVOID_TIME_US = 60_000_000;

    /** Time for which an announcement counts as current, in microseconds. */
    static final long ANNOUNCEMENT_VALIDITY_US = 30_000_000;

    private record ReceivedAnnouncement(Announcement announcement, long receivedAt) {}

    private final BoundedMap<Integer, ReceivedAnnouncement> received = new BoundedMap<>(MAX_ANNOUNCEMENTS);
    private final BoundedMap<Integer, Long> avoidedUntil = new BoundedMap<>(MAX_AVOIDED_BROKERS);

    /** Records an announcement in place of the sender's previous one. */
    void received(long now, int from, Announcement announcement) {
        received.putLatest(from, new ReceivedAnnouncement(announcement, now));
    }

    /** Ignores a broker for {@link #AVOID_TIME_US}. */
    void avoid(long now, int broker) {
        avoidedUntil.putLatest(broker, now + AVOID_TIME_US);
        received.remove(broker);
    }

    /** Whether a broker is ignored for now. */
    boolean isAvoided(long now, int broker) {
        return avoidedUntil.getOrDefault(broker, Long.MIN_VALUE) > now;
    }

    /** Brokers with a current announcement of that configuration. */
    List<Integer> sourcesOf(long now, ConfigurationId id) {
        List<Integer> out = new ArrayList<>();
        received.forEach((broker, entry) -> {
            if (now - entry.receivedAt() < ANNOUNCEMENT_VALIDITY_US
                    && entry.announcement().matches(id)) {
                out.add(broker);
            }
        });
        return out;
    }

    /** Brokers with a current announcement that mentions a higher version. */
    List<Integer> announcersAbove(long now, long version) {
        List<Integer> out = new ArrayList<>();
        received.forEach((broker, entry) -> {
            if (now - entry.receivedAt() < ANNOUNCEMENT_VALIDITY_US
                    && entry.announcement().highest() > version) {
                out.add(broker);
            }
        });
        return out;
    }

    /** Brokers with a current announcement. */
    int count(long now) {
        return (int) received.values().stream()
                .filter(entry -> now - entry.receivedAt() < ANNOUNCEMENT_VALIDITY_US)
                .count();
    }

    /** Brokers with a current announcement whose version in force is lower. */
    int countBelow(long now, long version) {
        return (int) received.values().stream()
                .filter(entry -> now - entry.receivedAt() < ANNOUNCEMENT_VALIDITY_US
                        && entry.announcement().version() < version)
                .count();
    }
}
