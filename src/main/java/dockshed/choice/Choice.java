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
    static final long SECOND = 1_000_000;
    private static final long SWEEP = SECOND / 2; // between looks at playing sessions
    private static final long QUOTA_PERIOD = 5 * SECOND; // between recomputes of Method II
    private static final double PRIOR_ENDS = 3; // ends that the prior stay weighs as much as
    private static final long SET_UPS_OVER = 2 * SECOND; // own set-ups are counted over that
    private static final long RATION_MARGIN = SECOND / 100; // requests are counted over less than their attempts
    private static final double UPLINK_HOPE = 1.2; // told uplink is tried so far up where only shortage can tell
    private static final int MANY_DIRECTORS = 6; // so many would try it at once and learn too late: none does
    private static final int ERRORS = 2; // servers in a row seldom err by chance: the request is at fault
    private static final long TOO_LATE = SECOND / 1000; // before the deadline

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
    private long recomputeAt;

    public Choice(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        Random random = new Random(seed);
        RenditionLadder ladder = new RenditionLadder(settings.ladder());
        sessions = new Sessions(settings, ladder, new StayEstimate(Pricing.PRIOR_STAY, PRIOR_ENDS));
        boolean hope = !EdgeServers.uplinksTold(settings) && settings.brokers() < MANY_DIRECTORS;
        servers = new EdgeServers(settings, hope ? UPLINK_HOPE : 1, random::nextDouble);
        rates = new AttemptRates(settings.rules(), RATION_MARGIN, SET_UPS_OVER);
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

    private void start(long now) {
        if (rates.start(now)) {
            recomputeAt = now + QUOTA_PERIOD;
            actions.timer("sweep", now + SWEEP);
        }
    }

    @Override
    public void serversChanged(long now, ListScope scope, List<Server> news) {
        start(now);
        if (scope != ListScope.ERROR) {
            servers.members(now, scope, news);
        }
    }

    @Override
    public void request(long now, Request request) {
        start(now);
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
        start(now);
        EdgeServer server = servers.get(id);
        Session session = server == null ? null : sessions.add(now, request);
        if (session != null) {
            session.playsAlready(now, server);
            headroom.opened(session.kb());
            servers.allWarm();
        }
    }

    @Override
    public void sessionStarted(long now, String request, int attempt, String server) {
        Session session = sessions.at(request, server);
        if (session != null) {
            session.play(now);
        }
    }

    @Override
    public void outcome(
            long now, String request, int attempt, String id, Outcome outcome, boolean last, LoadReport report) {
        EdgeServer server = servers.get(id);
        if (server != null) {
            readings.report(now, server, report);
        }
        Session session = sessions.at(request, id);
        if (session == null) {
            return;
        }
        leave(now, session);
        attempts.judge(now, server, outcome, session.playing());
        if (!session.playing() && !last) {
            retry(now, session, outcome);
            return;
        }
        sessions.ended(now, session, outcome == Outcome.OK);
        if (!last) {
            actions.fail(request);
        }
    }

    private void retry(long now, Session session, Outcome outcome) {
        session.attemptEnded(outcome);
        boolean late = outcome == Outcome.TIMEOUT && now + TOO_LATE >= session.deadline();
        if (session.errors() >= ERRORS || late) {
            sessions.remove(session.id());
            actions.fail(session.id());
        } else {
            admission.place(now, session);
        }
    }

    /** Takes a session off its server. */
    private void leave(long now, Session session) {
        EdgeServer server = session.server();
        session.leave(now);
        if (session.playing() && pricing.premium(session.sessionClass())) {
            steps.regain(now, server);
        }
    }

    @Override
    public void requestCancelled(long now, String request) {
        Session session = sessions.remove(request);
        if (session != null && session.server() != null) {
            leave(now, session);
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
            case RENDITION -> renditionTold(now, server, session, value);
            case LINK -> linkTold(now, server, session, value);
            case UPLINK -> uplinkTold(now, server, session, value);
            case DELIVERED -> readings.delivered(now, server, value);
        }
    }

    private void renditionTold(long now, EdgeServer server, Session session, double value) {
        if (session != null && session.playing() && session.hasRendition(value)) {
            headroom.opened(session.openedAtStart() ? session.moreKb((int) value) : 0);
            session.told(now, server, (int) value);
        }
    }

    private void linkTold(long now, EdgeServer server, Session session, double value) {
        boolean setUp = session != null && session.awaitsLink(); // its own reading is of now
        readings.link(now, server, value, setUp ? now : now - settings.limits().reportDelay());
        if (setUp && session.linkRead(servers.uplinksTold())) {
            steps.settle(now, session);
        }
    }

    private void uplinkTold(long now, EdgeServer server, Session session, double value) {
        readings.uplink(now, server, value);
        if (session != null && session.uplinkRead()) {
            steps.settle(now, session);
        }
    }

    @Override
    public void probed(long now, String server, boolean healthy, LoadReport report) {} // none is sent

    @Override
    public void peerMessageReceived(long now, int from, byte[] message) {} // nothing is asked of the other directors

    @Override
    public void timer(long now, String key) {
        actions.timer(key, now + SWEEP);
        readings.regainUplinks(now, SWEEP);
        servers.decayTrust(sessions.stays().remaining(SWEEP / (double) SECOND));
        headroom.update(rates.setUpsPerSecond(now), actions.newSessionShare()); // refused tries take no room
        pricing.reprice(now, headroom.budget(now));
        servers.all().forEach(server -> steps.raise(now, server));
        servers.forgetGone();
        if (now >= recomputeAt) {
            recomputeAt = now + QUOTA_PERIOD;
            reserves.recompute(now);
        }
    }
}
