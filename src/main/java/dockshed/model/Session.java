package dockshed.model;

import dockshed.Director.Effect;
import dockshed.Director.Outcome;
import dockshed.Director.Request;
import dockshed.Director.SessionClass;
import java.util.ArrayList;
import java.util.List;

/** A session from its request through its attempts until it stops playing. */
public final class Session {
    private final Request request;
    private final SessionClass sessionClass;
    private final RenditionLadder ladder;
    private final int highestRendition;
    private final long deadline;
    private final List<EdgeServer> triedServers = new ArrayList<>();
    private EdgeServer server;
    private int attempts;
    private int errors;
    private boolean mayHaveRun;
    private boolean playing;
    private boolean linkReadingReceived;
    private boolean awaitsUplinkReading;
    private boolean subRated;
    private int renditionBeforeSubRating;
    private int rendition;
    private long sentAt;
    private long startedAt;
    private long steppedAt;

    /** Creates a session for a request received now. */
    public Session(Request request, SessionClass sessionClass, RenditionLadder ladder, long now) {
        this.request = request;
        this.sessionClass = sessionClass;
        this.ladder = ladder;
        highestRendition = Math.max(
                sessionClass.lowestRendition(), Math.min(request.highestRendition(), sessionClass.highestRendition()));
        deadline = now + request.clientDeadline();
        startedAt = now;
    }

    // ---- The request.

    /** The request. */
    public Request request() {
        return request;
    }

    /** The id of the request and session. */
    public String id() {
        return request.id();
    }

    /** Its class. */
    public SessionClass sessionClass() {
        return sessionClass;
    }

    /** The lowest rendition of its class. */
    public int lowestRendition() {
        return sessionClass.lowestRendition();
    }

    /** The highest rendition that it may have. */
    public int highestRendition() {
        return highestRendition;
    }

    /** When the viewer stops waiting, microseconds. */
    public long deadline() {
        return deadline;
    }

    /** Its rate at a rendition in kB/s. */
    public double rateKb(int rendition) {
        return ladder.rateKb(sessionClass, rendition);
    }

    // ---- Attempts.

    /** Starts an attempt at a server and rendition; its load is recorded there as a set-up. */
    public void send(long now, EdgeServer target, int rendition) {
        attempts++;
        triedServers.add(target);
        this.rendition = rendition;
        server = target;
        sentAt = now;
        target.add(this);
        target.recordChange(now, 0, rateKb());
        target.setUpSent(now);
    }

    /** The attempt was answered: the session plays from now on. */
    public void startPlaying(long now) {
        playing = true;
        startedAt = now;
        steppedAt = now;
        server.attemptAnswered();
        server.recordChange(now, rateKb(), -rateKb());
    }

    /** The session was already playing at the server when this broker started; assumes its lowest rendition. */
    public void restorePlaying(long now, EdgeServer at) {
        playing = true;
        linkReadingReceived = true;
        attempts = 1;
        rendition = lowestRendition();
        server = at;
        at.add(this);
        at.recordChange(now, rateKb(), 0);
    }

    /** Removes the session and its load from its server. */
    public void leaveServer(long now) {
        server.remove(this);
        server.recordChange(now, playing ? -rateKb() : 0, playing ? 0 : -rateKb());
        server = null;
    }

    /** The server of the attempt in progress or of the playing session, else null. */
    public EdgeServer server() {
        return server;
    }

    /** Number of attempts so far. */
    public int attempts() {
        return attempts;
    }

    /** Whether an attempt was sent to the server. */
    public boolean hasTried(EdgeServer at) {
        return triedServers.contains(at);
    }

    /** Whether it was already playing when this broker started. */
    public boolean openedAtStart() {
        return sentAt == 0;
    }

    /** Records the end of an attempt; FULL, CONNECT_FAILED and MOOT prove that the set-up did not run. */
    public void attemptEnded(Outcome outcome) {
        mayHaveRun |= outcome != Outcome.FULL && outcome != Outcome.CONNECT_FAILED && outcome != Outcome.MOOT;
        errors += outcome == Outcome.ERROR ? 1 : 0;
    }

    /** Whether a set-up may be repeated even if an earlier one may have run. */
    public boolean repeatable() {
        return sessionClass.effect() == Effect.SAFE;
    }

    /** Whether a set-up may have run and must not be repeated. */
    public boolean mustNotRepeat() {
        return mayHaveRun && !repeatable();
    }

    /** Number of attempts that ended with ERROR. */
    public int errors() {
        return errors;
    }

    // ---- Playing.

    /** Whether it plays. */
    public boolean playing() {
        return playing;
    }

    /** When the request was received, or once the session plays, when that began; microseconds. */
    public long startedAt() {
        return startedAt;
    }

    /** The current rendition. */
    public int rendition() {
        return rendition;
    }

    /** Whether a reported number is a rendition of the ladder. */
    public boolean hasRendition(double reported) {
        return reported >= 0 && reported < ladder.count();
    }

    /** Its rate at the current rendition in kB/s. */
    public double rateKb() {
        return rateKb(rendition);
    }

    /** Rate of a rendition less the current rate, in kB/s. */
    public double moreKb(int rendition) {
        return rateKb(rendition) - rateKb();
    }

    /** What a rendition earns per second more than the current one, relative to the worth of the class. */
    public double moreWorth(int rendition) {
        return ladder.worth(rendition) - ladder.worth(this.rendition);
    }

    /** Steps to another rendition. */
    public void step(long now, int target) {
        server.recordChange(now, moreKb(target), 0);
        steppedAt = now;
        rendition = target;
    }

    /** A server reported that another rendition is in use. */
    public void renditionReported(long now, EdgeServer at, int rendition) {
        double more = moreKb(rendition);
        this.rendition = rendition;
        at.recordChange(now, more, 0);
    }

    /** When it last stepped to another rendition or began to play, microseconds. */
    public long steppedAt() {
        return steppedAt;
    }

    /** Marks it as sub-rated for a newcomer and keeps its present rendition. Called before the step. */
    public void markSubRated() {
        subRated = true;
        renditionBeforeSubRating = rendition;
    }

    /** Marks it as no longer sub-rated: it has stepped up again. */
    public void clearSubRated() {
        subRated = false;
    }

    /** Whether it is sub-rated for a newcomer. */
    public boolean subRated() {
        return subRated;
    }

    /** The rendition that it had before it was sub-rated. */
    public int renditionBeforeSubRating() {
        return renditionBeforeSubRating;
    }

    // ---- Readings that its own set-up brings.

    /** Whether the link reading of its set-up is still expected. */
    public boolean awaitsLinkReading() {
        return !linkReadingReceived;
    }

    /**
     * The link reading was received; {@code uplinkFollows}: an uplink reading is expected. Returns whether it was the
     * last.
     */
    public boolean linkReadingReceived(boolean uplinkFollows) {
        linkReadingReceived = true;
        awaitsUplinkReading = uplinkFollows;
        return !awaitsUplinkReading;
    }

    /** An uplink reading was received. Returns whether it was the one of its set-up. */
    public boolean uplinkReadingReceived() {
        boolean awaited = awaitsUplinkReading;
        awaitsUplinkReading = false;
        return awaited;
    }
}
