package dockshed.rollout;

import java.util.ArrayList;
import java.util.List;

/** What others announce, and who is not listened to for a while. */
final class SourceTable {
    /** Announcements that are remembered, of the brokers heard last. */
    static final int MAX_ANNOUNCEMENTS = 256;
    /** Brokers that are avoided at a time. */
    static final int MAX_AVOIDED_BROKERS = 64;
    /** Microseconds for which a broker is avoided, and for which an announcement is of now. */
    static final long AVOID_TIME_US = 60_000_000;

    static final long ANNOUNCEMENT_VALIDITY_US = 30_000_000;

    private record ReceivedAnnouncement(Announcement announcement, long receivedAt) {}

    private final BoundedMap<Integer, ReceivedAnnouncement> received = new BoundedMap<>(MAX_ANNOUNCEMENTS);
    private final BoundedMap<Integer, Long> avoidedUntil = new BoundedMap<>(MAX_AVOIDED_BROKERS);

    void received(long now, int from, Announcement announcement) {
        received.putLatest(from, new ReceivedAnnouncement(announcement, now));
    }

    void avoid(long now, int broker) {
        avoidedUntil.putLatest(broker, now + AVOID_TIME_US);
        received.remove(broker);
    }

    boolean isAvoided(long now, int broker) {
        return avoidedUntil.getOrDefault(broker, Long.MIN_VALUE) > now;
    }

    /** Those that announced a configuration lately. */
    List<Integer> sourcesOf(long now, ConfigurationId id) {
        List<Integer> out = new ArrayList<>();
        received.forEach((broker, h) -> {
            if (now - h.receivedAt() < ANNOUNCEMENT_VALIDITY_US
                    && h.announcement().matches(id)) {
                out.add(broker);
            }
        });
        return out;
    }

    /** Those that lately spoke of a version above one given. */
    List<Integer> announcersAbove(long now, long version) {
        List<Integer> out = new ArrayList<>();
        received.forEach((broker, h) -> {
            if (now - h.receivedAt() < ANNOUNCEMENT_VALIDITY_US
                    && h.announcement().highest() > version) {
                out.add(broker);
            }
        });
        return out;
    }

    /** Brokers heard lately. */
    int count(long now) {
        return (int) received.values().stream()
                .filter(h -> now - h.receivedAt() < ANNOUNCEMENT_VALIDITY_US)
                .count();
    }

    /** Of them, those with a version below one given. */
    int countBelow(long now, long version) {
        return (int) received.values().stream()
                .filter(h -> now - h.receivedAt() < ANNOUNCEMENT_VALIDITY_US
                        && h.announcement().version() < version)
                .count();
    }
}
