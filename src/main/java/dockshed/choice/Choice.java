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
 * All decisions. The interface (types, events, actions, units) is in Director.java. Here events come in and the parts
 * are told of them: {@link Admission}, {@link SlowStart} and {@link Attempts} for newcomers; {@link Steps} and
 * {@link Readings} for sessions that play; {@link Headroom}, {@link Pricing} and {@link Reserves} for what may be
 * spent, at which price, and what is kept back. What is known is in {@code dockshed.model}.
 */
public final class Choice implements Director {
    static final long SECOND_US = 1_000_000;
    private static final long SWEEP_INTERVAL_US = SECOND_US / 2; // between looks at playing sessions
    private static final long QUOTA_INTERVAL_US = 5 * SECOND_US; // between recomputes of Method II
    private static final double PRIOR_STAY_WEIGHT = 3; // ends that the prior stay weighs as much as
    private static final long SET_UP_WINDOW_US = 2 * SECOND_US; // own set-ups are counted over that
    private static final long REQUEST_WINDOW_MARGIN_US =
            SECOND_US / 100; // requests are counted over less than their attempts
    private static final double UPLINK_OVERESTIMATE =
            1.2; // told uplink is tried so far up where only shortage can tell
    private static final int MANY_BROKERS = 6; // so many would try it at once and learn too late: none does
    private static final int MAX_ERRORS_PER_REQUEST =
            2; // servers in a row seldom err by chance: the request is at fault
    private static final long MIN_TIME_LEFT_US = SECOND_US / 1000; // before the deadline

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

    public Choice(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        Random random = new Random(seed);
        RenditionLadder ladder = new RenditionLadder(settings.ladder());
        sessions = new Sessions(settings, ladder, new StayEstimate(Pricing.PRIOR_STAY_S, PRIOR_STAY_WEIGHT));
        boolean hope = !EdgeServers.uplinksReported(settings) && settings.brokers() < MANY_BROKERS;
        servers = new EdgeServers(settings, hope ? UPLINK_OVERESTIMATE : 1, random::nextDouble);
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

    /** Edge servers known, for tests. */
    public int knownServers() {
        return servers.all().size();
    }

    private void startOnFirstEvent(long now) {
        if (rates.start(now)) {
            nextQuotaUpdateAt = now + QUOTA_INTERVAL_US;
            actions.timer("sweep", now + SWEEP_INTERVAL_US);
        }
    }

    @Override
    public void serversChanged(long now, ListScope scope, List<Server> news) {
        startOnFirstEvent(now);
        if (scope != ListScope.ERROR) {
            servers.update(now, scope, news);
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
        rates.requested(now, session.sessionClass());
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

    /** Takes a session off its server. */
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
    public void metricReceived(long now, String request, String id, Metric topic, double value) {
        EdgeServer server = servers.get(id);
        if (server == null) {
            return;
        }
        Session session = sessions.get(request);
        switch (topic) {
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
        boolean setUp = session != null && session.awaitsLinkReading(); // its own reading is of now
        readings.linkLoad(
                now, server, value, setUp ? now : now - settings.limits().reportDelay());
        if (setUp && session.linkReadingReceived(servers.uplinksReported())) {
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
    public void probed(long now, String server, boolean healthy, LoadReport report) {} // none is sent

    @Override
    public void peerMessageReceived(long now, int from, byte[] message) {} // nothing is asked of the other directors

    @Override
    public void timer(long now, String key) {
        actions.timer(key, now + SWEEP_INTERVAL_US);
        readings.recoverUplinks(now, SWEEP_INTERVAL_US);
        servers.decayTrust(sessions.stays().remainingShare(SWEEP_INTERVAL_US / (double) SECOND_US));
        headroom.update(rates.setUpsPerSecond(now), actions.newSessionShare()); // refused tries take no room
        pricing.updatePrice(now, headroom.budget(now));
        servers.all().forEach(server -> steps.stepUp(now, server));
        servers.removeGone();
        if (now >= nextQuotaUpdateAt) {
            nextQuotaUpdateAt = now + QUOTA_INTERVAL_US;
            reserves.recompute(now);
        }
    }
}
