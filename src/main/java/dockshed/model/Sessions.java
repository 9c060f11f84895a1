package dockshed.model;

import dockshed.Director.Request;
import dockshed.Director.SessionClass;
import dockshed.Director.Settings;
import dockshed.queueing.StayEstimate;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** All requests and sessions by id, and how long they stay. */
public final class Sessions {
    private static final double SECOND_US = 1e6;

    private final Map<String, Session> byId = new LinkedHashMap<>();
    private final Settings settings;
    private final RenditionLadder ladder;
    private final StayEstimate stays;

    /** None yet, with what is known of their stay. */
    public Sessions(Settings settings, RenditionLadder ladder, StayEstimate stays) {
        this.settings = settings;
        this.ladder = ladder;
        this.stays = stays;
    }

    /** The session of a request, from now on among all; null where nobody knows its class. */
    public Session add(long now, Request request) {
        for (SessionClass sessionClass : settings.classes()) {
            if (sessionClass.name().equals(request.className())) {
                Session session = new Session(request, sessionClass, ladder, now);
                byId.put(session.id(), session);
                return session;
            }
        }
        return null;
    }

    /** The session, or null. */
    public Session get(String id) {
        return byId.get(id);
    }

    /** The session, if it is out or plays at that server, else null. */
    public Session findAt(String id, String server) {
        Session session = byId.get(id);
        boolean there = session != null
                && session.server() != null
                && session.server().id().equals(server);
        return there ? session : null;
    }

    /** The session that was there, or null. */
    public Session remove(String id) {
        return byId.remove(id);
    }

    /** The session is over; {@code byItself}: it was not cut off. */
    public void ended(long now, Session session, boolean byItself) {
        remove(session.id());
        if (session.playing()) {
            stays.recordEnd((now - session.startedAt()) / SECOND_US, byItself);
        }
    }

    /** All, in the order in which they came. */
    public Collection<Session> all() {
        return Collections.unmodifiableCollection(byId.values());
    }

    /** How many there are. */
    public int size() {
        return byId.size();
    }

    /** How long sessions stay. */
    public StayEstimate stays() {
        return stays;
    }

    /** Seconds that a session will probably still play; at least a part of the mean. */
    public double remainingStay(long now, Session session, double leastPart) {
        double mean = stays.meanSeconds();
        if (session.request().expectedDuration() <= 0) {
            return mean;
        }
        double left = (session.startedAt() + session.request().expectedDuration() - now) / SECOND_US;
        return Math.max(left, mean * leastPart);
    }

    /** Whether a seat of the newcomer's class is free at its title. */
    public boolean hasFreeSeat(Session newcomer) {
        int seats = newcomer.sessionClass().seats();
        return seats == 0
                || seats
                        > byId.values().stream()
                                .filter(s -> countsAgainstSameSeats(s, newcomer))
                                .count();
    }

    private static boolean countsAgainstSameSeats(Session session, Session newcomer) {
        return session.server() != null
                && session.sessionClass() == newcomer.sessionClass()
                && session.request().title().equals(newcomer.request().title());
    }
}
