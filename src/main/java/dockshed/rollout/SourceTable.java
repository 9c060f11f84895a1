package dockshed.rollout;

import java.util.ArrayList;
import java.util.List;

/** What others announce, and who is not listened to for a while. */
final class SourceTable {
    /** Announcements that are remembered, of the brokers heard last. */
    static final int MOST_HEARD = 256;
    /** Brokers that are avoided at a time. */
    static final int MOST_AVOIDED = 64;
    /** Microseconds for which a broker is avoided, and for which an announcement is of now. */
    static final long AVOID = 60_000_000;

    static final long RECENT = 30_000_000;

    private record Heard(Announcement announcement, long at) {}

    private final BoundedMap<Integer, Heard> heard = new BoundedMap<>(MOST_HEARD);
    private final BoundedMap<Integer, Long> avoidedUntil = new BoundedMap<>(MOST_AVOIDED);

    void heard(long now, int from, Announcement announcement) {
        heard.renew(from, new Heard(announcement, now));
    }

    void avoid(long now, int broker) {
        avoidedUntil.renew(broker, now + AVOID);
        heard.remove(broker);
    }

    boolean avoided(long now, int broker) {
        return avoidedUntil.getOrDefault(broker, Long.MIN_VALUE) > now;
    }

    /** Those that announced a configuration lately. */
    List<Integer> sourcesOf(long now, ConfigurationId id) {
        List<Integer> out = new ArrayList<>();
        heard.forEach((broker, h) -> {
            if (now - h.at() < RECENT && h.announcement().names(id)) {
                out.add(broker);
            }
        });
        return out;
    }

    /** Those that lately spoke of a version above one given. */
    List<Integer> announcersAbove(long now, long version) {
        List<Integer> out = new ArrayList<>();
        heard.forEach((broker, h) -> {
            if (now - h.at() < RECENT && h.announcement().highest() > version) {
                out.add(broker);
            }
        });
        return out;
    }

    /** Brokers heard lately. */
    int count(long now) {
        return (int) heard.values().stream().filter(h -> now - h.at() < RECENT).count();
    }

    /** Of them, those with a version below one given. */
    int countBelow(long now, long version) {
        return (int) heard.values().stream()
                .filter(h -> now - h.at() < RECENT && h.announcement().version() < version)
                .count();
    }
}
