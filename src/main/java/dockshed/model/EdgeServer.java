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

/** An edge server's link, its state in the list, and this director's sessions there. */
public final class EdgeServer extends Link {
    private static final long NOT_COLD = Long.MIN_VALUE;
    private static final long NEVER_SENT_AT_US = -60_000_000;

    private final Rules rules;
    private final Map<String, Session> sessions = new LinkedHashMap<>();
    private final EventWindow expectedSetUps;
    private Server info;
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

    // ---- The list.

    /** Its entry of the list. */
    public Server info() {
        return info;
    }

    /** Its name. */
    public String id() {
        return info.id();
    }

    /** The rack that it stands in. */
    public Rack rack() {
        return rack;
    }

    void setRack(Rack rack) {
        this.rack = rack;
        rack.add(this);
    }

    /** The streams that it runs at most. */
    public int streams() {
        return streams;
    }

    void setStreams(int streams) {
        this.streams = streams;
    }

    /** Whether it is up, by the list. */
    public boolean listed() {
        return listed;
    }

    /** Whether it has left the list. */
    boolean gone() {
        return gone;
    }

    /** Nothing is heard of it for now; {@code complete}: a whole list does not name it. */
    void absentFromList(boolean complete) {
        listed &= !complete;
        gone |= complete;
    }

    /** The list names it. */
    void presentInList(Server entry) {
        info = entry;
        listed = entry.state() == Director.State.UP;
        gone = entry.state() == Director.State.GONE;
    }

    // ---- Its start.

    /** The share of its rate that it gives since it started (rule 4). */
    public double warmth(long now) {
        return coldSince == NOT_COLD ? 1 : rules.warmth(now, coldSince);
    }

    /** Whether it is taken for cold only for lack of news. */
    public boolean presumedCold() {
        return presumedCold;
    }

    void presumeCold(long now) {
        coldSince = now;
        presumedCold = true;
    }

    /** It started when the list says. */
    void startedAsListed() {
        presumedCold = false;
        coldSince = info.upSince() > 0 ? info.upSince() : NOT_COLD;
    }

    void markWarm() {
        presumedCold = false;
        coldSince = NOT_COLD;
    }

    /** Its process may be gone, and start anew. */
    public void connectionLost(long now) {
        coldSince = now;
    }

    /** Set-ups that this director was expected to send while it was cold, each with its chance. */
    public EventWindow expectedSetUps() {
        return expectedSetUps;
    }

    // ---- Failures.

    /** An attempt came to nothing. */
    public void attemptFailed() {
        failures++;
    }

    /** An attempt was answered. */
    void attemptAnswered() {
        failures = 0;
    }

    /** Attempts in a row that came to nothing. */
    public int failures() {
        return failures;
    }

    /** It is left alone until then. */
    public void pauseUntil(long time) {
        pausedUntil = time;
    }

    /** Whether it may be sent anything: listed as up (rule 3) and not left alone. */
    public boolean usable(long now) {
        return listed && now >= pausedUntil;
    }

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

    /** The share of its link that it gives, as learnt. */
    public double linkShare() {
        return linkShare;
    }

    /** The share of its link that it gives is learnt to be this. */
    public void setLinkShare(double share) {
        linkShare = share;
    }

    /** A reading of all that is asked of its link, and a random draw from 0 to 1 that goes with it. */
    public void recordReading(double levelKb, long at, double draw) {
        load().recordReading(levelKb, at);
        readingDraw = draw;
    }

    /** The draw that went with the last reading. */
    public double readingDraw() {
        return readingDraw;
    }

    /** Books changes of this director's playing sessions and of its set-ups, here and at the uplink. */
    public void recordChange(long now, double playingKb, double setUpKb) {
        load().recordChange(now, playingKb, setUpKb);
        rack.load().recordChange(now, playingKb, setUpKb);
    }

    // ---- This director's sessions.

    /** This director's sessions, set-ups included. */
    public Collection<Session> sessions() {
        return Collections.unmodifiableCollection(sessions.values());
    }

    /** Whether this director has no session there. */
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

    /** Whether a connection to it is probably up, if one without sessions is kept for so long. */
    public boolean probablyConnected(long now, long kept) {
        return !idle() || now - lastSentAt < kept;
    }

    /** When this director last sent it a set-up. */
    public long lastSentAt() {
        return lastSentAt;
    }

    /** Whether it holds the title asked for, in a ring of so many cells. */
    public boolean holds(Request request, int cells) {
        return Math.floorMod(info.cell() - request.homeCell(), cells) < request.copies();
    }

    /** A try was for a title that it holds or not; its share moves by one part in {@code memory}. */
    public void recordPlacement(Request request, int cells, double memory) {
        double usual = Math.min(1, request.copies() / (double) cells);
        holderShare = Double.isNaN(holderShare) ? usual : holderShare;
        holderShare += ((holds(request, cells) ? 1 : 0) - holderShare) / memory;
    }

    /** The share of the latest tries whose title it holds. */
    public double holderShare() {
        return holderShare;
    }

    /** Slots that are reserved there. */
    public QuotaOptimizer.Quotas quotas() {
        return quotas;
    }

    /** Reserves slots. */
    public void reserve(QuotaOptimizer.Quotas quotas) {
        this.quotas = quotas;
    }
}
