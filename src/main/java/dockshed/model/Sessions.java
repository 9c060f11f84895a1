package dockshed.model;

import dockshed.Director.Request;
import dockshed.Director.SessionClass;
import dockshed.Director.Settings;
import dockshed.queueing.StayEstimate;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** All requests and sessions by id, and the estimate of how long sessions stay. */
public final class Sessions {
    private static final double SECOND_US = 1e6;

    private final Map<String, Session> byId = new LinkedHashMap<>();
    private final Settings settings;
    private final RenditionLadder ladder;
    private final StayEstimate stays;

    /** Creates an empty table. */
    public Sessions(Settings settings, RenditionLadder ladder, StayEstimate stays) {
        this.settings = settings;
        this.ladder = ladder;
        this.stays = stays;
    }

    /** Adds a session for a request; null if the class of the request is unknown. */
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

    /** The session, or null if it is unknown. */
    public Session get(String id) {
        return byId.get(id);
    }

    /** The session if its attempt or playback is at that server, else null. */
    public Session findAt(String id, String server) {
        Session session = byId.get(id);
        boolean matches = session != null
                && session.server() != null
                && session.server().id().equals(server);
        return matches ? session : null;
    }

    /** Removes a session; null if it is unknown. */
    public Session remove(String id) {
        return byId.remove(id);
    }

    /** Removes a session that has ended; {@code normally}: it was not cut off. */
    public void ended(long now, Session session, boolean normally) {
        remove(session.id());
        if (session.playing()) {
            stays.recordEnd((now - session.startedAt()) / SECOND_US, normally);
        }
    }

    /** All sessions in the order of their requests. */
    public Collection<Session> all() {
        return Collections.unmodifiableCollection(byId.values());
    }

    /** Number of requests and sessions. */
    public int size() {
        return byId.size();
    }

    /** The estimate of how long sessions stay. */
    public StayEstimate stays() {
        return stays;
    }

    /**
     * Expected remaining stay of a session in seconds: by the viewer's estimate if there is one, else the mean.
     *
     * @param minShare least remaining stay as a share of the mean, where the viewer's estimate is used up
     */
    public double remainingStay(long now, Session session, double minShare) {
        double mean = stays.meanSeconds();
        if (session.request().expectedDuration() <= 0) {
            return mean;
        }
        double remaining = (session.startedAt() + session.request().expectedDuration() - now) / SECOND_US;
        return Math.max(remaining, mean * minShare);
    }

    /** Whether the newcomer's class has a free seat at its title. */
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
