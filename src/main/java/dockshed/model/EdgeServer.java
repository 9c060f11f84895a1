package dockshed.model;

import dockshed.Director;
import dockshed.Director.Request;
import dockshed.Director.Rules;
import dockshed.Director.Server;
import dockshed.queueing.EventWindow;
import dockshed.queueing.QuotaOptimizer;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** An edge server: its link, its state in the server list, and this broker's sessions there. */
public final class EdgeServer extends Link {
    private static final long NOT_COLD = Long.MIN_VALUE;
    private static final long NEVER_SENT_AT_US = -60_000_000;

    private final Rules rules;
    private final Map<String, Session> sessions = new LinkedHashMap<>();
    private final EventWindow expectedSetUps;
    private Server listing;
    private Rack rack;
    private int streams = 1;
    private boolean listed;
    private boolean gone;
    private boolean presumedCold;
    private long coldSince = NOT_COLD;
    private long pausedUntil;
    private long lastSentAt = NEVER_SENT_AT_US;
    private int failures;
    private double linkShare = 1;
    private double readingDraw = 1;
    private double holderShare = Double.NaN;
    private QuotaOptimizer.Quotas quotas = QuotaOptimizer.Quotas.NONE;

    EdgeServer(Rules rules) {
        this.rules = rules;
        expectedSetUps = new EventWindow(rules.overloadWindow() - 1);
    }

    // ---- The server list.

    /** Its latest entry in the list; null before the first. */
    public Server listing() {
        return listing;
    }

    /** Its id. */
    public String id() {
        return listing.id();
    }

    /** Its rack. */
    public Rack rack() {
        return rack;
    }

    void setRack(Rack rack) {
        this.rack = rack;
        rack.add(this);
    }

    /** Maximum number of concurrent streams. */
    public int streams() {
        return streams;
    }

    void setStreams(int streams) {
        this.streams = streams;
    }

    /** Whether the list has it as up. */
    public boolean listed() {
        return listed;
    }

    /** Whether it has left the list. */
    boolean gone() {
        return gone;
    }

    /** An update does not name it; {@code complete}: the update was a complete list, so that it is no longer listed. */
    void absentFromList(boolean complete) {
        listed &= !complete;
        gone |= complete;
    }

    /** An update lists it. */
    void presentInList(Server entry) {
        listing = entry;
        listed = entry.state() == Director.State.UP;
        gone = entry.state() == Director.State.GONE;
    }

    // ---- Start and warm-up.

    /** Share of its rate that it gives while warming up after a start, up to 1 (rule 4). */
    public double warmth(long now) {
        return coldSince == NOT_COLD ? 1 : rules.warmth(now, coldSince);
    }

    /** Whether it counts as cold only because the list in use is old. */
    public boolean presumedCold() {
        return presumedCold;
    }

    /** Counts as started now, until an update says when it started. */
    void presumeCold(long now) {
        coldSince = now;
        presumedCold = true;
    }

    /** Sets its start to the time in its list entry. */
    void startedAsListed() {
        presumedCold = false;
        coldSince = listing.upSince() > 0 ? listing.upSince() : NOT_COLD;
    }

    /** Counts as started long ago. */
    void markWarm() {
        presumedCold = false;
        coldSince = NOT_COLD;
    }

    /** A connection was lost: its process may have ended and start again cold. */
    public void connectionLost(long now) {
        coldSince = now;
    }

    /** Set-ups that this broker was expected to send while the server was cold, each weighted by its probability. */
    public EventWindow expectedSetUps() {
        return expectedSetUps;
    }

    // ---- Failures.

    /** Counts an attempt that ended without an answer. */
    public void attemptFailed() {
        failures++;
    }

    /** Resets the failures: an attempt was answered. */
    void attemptAnswered() {
        failures = 0;
    }

    /** Consecutive attempts without an answer. */
    public int failures() {
        return failures;
    }

    /** Excludes it from new attempts until that time. */
    public void pauseUntil(long time) {
        pausedUntil = time;
    }

    /** Whether it may be sent anything: listed as up (rule 3) and not paused. */
    public boolean usable(long now) {
        return listed && now >= pausedUntil;
    }

    /** Resets what was learnt of the process that ran before a restart. */
    void forgetFailures() {
        pausedUntil = 0;
        failures = 0;
        linkShare = 1;
    }

    // ---- Its link.

    @Override
    public double nominalKb() {
        return configuredKb();
    }

    /** Share of its configured rate that the link gives, as estimated from readings. */
    public double linkShare() {
        return linkShare;
    }

    /** Sets the share of its configured rate that the link is estimated to give. */
    public void setLinkShare(double share) {
        linkShare = share;
    }

    /**
     * Records a reading of its link.
     *
     * @param levelKb the demand of all brokers' sessions in kB/s
     * @param at when the reading was current, microseconds
     * @param draw a random number from 0 to 1, used for all decisions made by this reading
     */
    public void recordReading(double levelKb, long at, double draw) {
        load().recordReading(levelKb, at);
        readingDraw = draw;
    }

    /** The random number that was drawn for the last reading. */
    public double readingDraw() {
        return readingDraw;
    }

    /**
     * Records a change in the load of this broker's playing sessions and of its set-ups in kB/s, here and at the
     * uplink.
     */
    public void recordChange(long now, double playingKb, double setUpKb) {
        load().recordChange(now, playingKb, setUpKb);
        rack.load().recordChange(now, playingKb, setUpKb);
    }

    // ---- This broker's sessions.

    /** This broker's sessions, including set-ups in progress. */
    public Collection<Session> sessions() {
        return Collections.unmodifiableCollection(sessions.values());
    }

    /** Whether this broker has no session or set-up there. */
    public boolean idle() {
        return sessions.isEmpty();
    }

    void add(Session session) {
        sessions.put(session.id(), session);
    }

    void remove(Session session) {
        sessions.remove(session.id());
    }

    void setUpSent(long now) {
        lastSentAt = now;
    }

    /** Whether a connection to it is probably open, given for how many microseconds one without sessions is kept. */
    public boolean probablyConnected(long now, long keptFor) {
        return !idle() || now - lastSentAt < keptFor;
    }

    /** When this broker last sent it a set-up. */
    public long lastSentAt() {
        return lastSentAt;
    }

    /** Whether it holds the requested title, in a ring of {@code cells} cells. */
    public boolean holds(Request request, int cells) {
        return Math.floorMod(listing.cell() - request.homeCell(), cells) < request.copies();
    }

    /**
     * Updates the share of titles that it holds by one more placement.
     *
     * @param memory number of placements that the moving average spans
     */
    public void recordPlacement(Request request, int cells, double memory) {
        double expectedShare = Math.min(1, request.copies() / (double) cells);
        holderShare = Double.isNaN(holderShare) ? expectedShare : holderShare;
        holderShare += ((holds(request, cells) ? 1 : 0) - holderShare) / memory;
    }

    /** Share of the latest placements whose title it holds. */
    public double holderShare() {
        return holderShare;
    }

    /** Slots reserved there for each group of classes. */
    public QuotaOptimizer.Quotas quotas() {
        return quotas;
    }

    /** Sets the reserved slots. */
    public void reserve(QuotaOptimizer.Quotas quotas) {
        this.quotas = quotas;
    }
}
