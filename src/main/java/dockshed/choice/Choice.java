package dockshed.choice;

import dockshed.Director;
import dockshed.model.AttemptRates;
import dockshed.model.EdgeServer;
import dockshed.model.EdgeServers;
import dockshed.model.RenditionLadder;
import dockshed.model.Session;
import dockshed.model.Sessions;
import dockshed.queueing.StayEstimate;
import java.util.List;
import java.util.Random;

/**
 * The decision module. Its interface (types, events, actions, units) is in Director.java. This class receives the
 * events and passes them to the parts: {@link Admission}, {@link SlowStart} and {@link Attempts} for new sessions;
 * {@link Steps} and {@link Readings} for playing sessions; {@link Headroom}, {@link Pricing} and {@link Reserves} for
 * the capacity that may be used, its price, and the slots that are reserved. State is kept in {@code dockshed.model}.
 */
public final class Choice implements Director {
    /** One second in microseconds, the unit of all times. */
    static final long SECOND_US = 1_000_000;

    private static final long SWEEP_INTERVAL_US = SECOND_US / 2; // between checks of playing sessions
    private static final long QUOTA_INTERVAL_US = 5 * SECOND_US; // between updates of the reserved slots
    private static final double PRIOR_STAY_WEIGHT = 3; // in observed ends of sessions
    private static final long SET_UP_WINDOW_US = 2 * SECOND_US; // for the rate of own set-ups
    private static final long REQUEST_WINDOW_MARGIN_US = SECOND_US / 100; // less than the window for retries

    /** Of the configured rate: an uplink that no load report covers shows its limit only by delivering short. */
    private static final double UPLINK_OVERESTIMATE = 1.2;

    /** So many brokers would overload an uplink together before any of them noticed: then none overestimates it. */
    private static final int MANY_BROKERS = 6;

    private static final int MAX_ERRORS_PER_REQUEST = 2; // two servers rarely fail by chance: the request is at fault
    private static final long MIN_TIME_LEFT_US = SECOND_US / 1000; // to the client deadline, for a retry

    private final Settings settings;
    private final Actions actions;
    private final Sessions sessions;
    private final EdgeServers servers;
    private final AttemptRates rates;
    private final Pricing pricing;
    private final Headroom headroom;
    private final Steps steps;
    private final Readings readings;
    private final Attempts attempts;
    private final Admission admission;
    private final Reserves reserves;
    private long nextQuotaUpdateAt;

    /**
     * Creates a module that knows no servers and no sessions yet.
     *
     * @param seed of all random decisions; the same seed, settings and events give the same actions
     * @param actions where decisions go; called only while an event is being handled
     */
    public Choice(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        Random random = new Random(seed);
        RenditionLadder ladder = new RenditionLadder(settings.ladder());
        sessions = new Sessions(settings, ladder, new StayEstimate(Pricing.PRIOR_STAY_S, PRIOR_STAY_WEIGHT));
        boolean probeUplinks = !EdgeServers.uplinksReported(settings) && settings.brokers() < MANY_BROKERS;
        servers = new EdgeServers(settings, probeUplinks ? UPLINK_OVERESTIMATE : 1, random::nextDouble);
        rates = new AttemptRates(settings.rules(), REQUEST_WINDOW_MARGIN_US, SET_UP_WINDOW_US);
        Context context = new Context(settings, actions, random, ladder, servers, sessions, rates);
        pricing = new Pricing(context);
        headroom = new Headroom(context, pricing);
        steps = new Steps(context, pricing, headroom);
        readings = new Readings(context, headroom, steps);
        attempts = new Attempts(context);
        admission = new Admission(context, pricing, headroom, new SlowStart(context), steps, attempts);
        reserves = new Reserves(context, pricing);
    }

    /** Number of edge servers known; for tests. */
    public int knownServers() {
        return servers.all().size();
    }

    /** Starts the counters and the timer on the first event. */
    private void startOnFirstEvent(long now) {
        if (rates.start(now)) {
            nextQuotaUpdateAt = now + QUOTA_INTERVAL_US;
            actions.scheduleTimer("sweep", now + SWEEP_INTERVAL_US);
        }
    }

    @Override
    public void serversChanged(long now, ListScope scope, List<Server> list) {
        startOnFirstEvent(now);
        if (scope != ListScope.ERROR) {
            servers.update(now, scope, list);
        }
    }

    @Override
    public void request(long now, Request request) {
        startOnFirstEvent(now);
        Session session = sessions.add(now, request);
        if (session == null) {
            actions.fail(request.id());
            return;
        }
        rates.recordRequest(now, session.sessionClass());
        admission.place(now, session);
    }

    @Override
    public void adoptSession(long now, Request request, String id) {
        startOnFirstEvent(now);
        EdgeServer server = servers.get(id);
        Session session = server == null ? null : sessions.add(now, request);
        if (session != null) {
            session.restorePlaying(now, server);
            headroom.addInitialLoad(session.rateKb());
            servers.markAllWarm();
        }
    }

    @Override
    public void sessionStarted(long now, String request, int attempt, String server) {
        Session session = sessions.findAt(request, server);
        if (session != null) {
            session.startPlaying(now);
        }
    }

    @Override
    public void outcome(
            long now, String request, int attempt, String id, Outcome outcome, boolean last, LoadReport report) {
        EdgeServer server = servers.get(id);
        if (server != null) {
            readings.loadReport(now, server, report);
        }
        Session session = sessions.findAt(request, id);
        if (session == null) {
            return;
        }
        removeFromServer(now, session);
        attempts.recordEnd(now, server, outcome, session.playing());
        if (!session.playing() && !last) {
            retryOrFail(now, session, outcome);
            return;
        }
        sessions.ended(now, session, outcome == Outcome.OK);
        if (!last) {
            actions.fail(request);
        }
    }

    /** Continues after a failed attempt: with a retry or a refusal, or an error if none can succeed any more. */
    private void retryOrFail(long now, Session session, Outcome outcome) {
        session.attemptEnded(outcome);
        boolean late = outcome == Outcome.TIMEOUT && now + MIN_TIME_LEFT_US >= session.deadline();
        if (session.errors() >= MAX_ERRORS_PER_REQUEST || late) {
            sessions.remove(session.id());
            actions.fail(session.id());
        } else {
            admission.place(now, session);
        }
    }

    /** Removes a session from its server; sub-rated sessions there may step up again after a premium one. */
    private void removeFromServer(long now, Session session) {
        EdgeServer server = session.server();
        session.leaveServer(now);
        if (session.playing() && pricing.isPremium(session.sessionClass())) {
            steps.restoreSubRated(now, server);
        }
    }

    @Override
    public void requestCancelled(long now, String request) {
        Session session = sessions.remove(request);
        if (session != null && session.server() != null) {
            removeFromServer(now, session);
        }
    }

    @Override
    public void metricReceived(long now, String request, String id, Metric metric, double value) {
        EdgeServer server = servers.get(id);
        if (server == null) {
            return;
        }
        Session session = sessions.get(request);
        switch (metric) {
            case RENDITION -> renditionReported(now, server, session, value);
            case LINK -> linkLoadReported(now, server, session, value);
            case UPLINK -> uplinkLoadReported(now, server, session, value);
            case DELIVERED -> readings.deliveredShare(now, server, value);
        }
    }

    private void renditionReported(long now, EdgeServer server, Session session, double value) {
        if (session != null && session.playing() && session.hasRendition(value)) {
            headroom.addInitialLoad(session.openedAtStart() ? session.moreKb((int) value) : 0);
            session.renditionReported(now, server, (int) value);
        }
    }

    private void linkLoadReported(long now, EdgeServer server, Session session, double value) {
        // The reading that a set-up brings is current; all others are delayed.
        boolean ownSetUp = session != null && session.awaitsLinkReading();
        readings.linkLoad(
                now, server, value, ownSetUp ? now : now - settings.limits().reportDelay());
        if (ownSetUp && session.linkReadingReceived(servers.uplinksReported())) {
            steps.stepUpNewcomer(now, session);
        }
    }

    private void uplinkLoadReported(long now, EdgeServer server, Session session, double value) {
        readings.uplinkLoad(now, server, value);
        if (session != null && session.uplinkReadingReceived()) {
            steps.stepUpNewcomer(now, session);
        }
    }

    @Override
    public void probed(long now, String server, boolean healthy, LoadReport report) {} // this module sends no probes

    @Override
    public void peerMessageReceived(long now, int from, byte[] message) {} // this module exchanges no messages

    @Override
    public void timer(long now, String key) {
        actions.scheduleTimer(key, now + SWEEP_INTERVAL_US);
        readings.recoverUplinks(now, SWEEP_INTERVAL_US);
        servers.decayTrust(sessions.stays().remainingShare(SWEEP_INTERVAL_US / (double) SECOND_US));
        // Set-ups, not placements: refused requests take no room.
        headroom.update(rates.setUpsPerSecond(now), actions.newSessionShare());
        pricing.updatePrice(now, headroom.budget(now));
        servers.all().forEach(server -> steps.stepUp(now, server));
        servers.removeGone();
        if (now >= nextQuotaUpdateAt) {
            nextQuotaUpdateAt = now + QUOTA_INTERVAL_US;
            reserves.recompute(now);
        }
    }
}
