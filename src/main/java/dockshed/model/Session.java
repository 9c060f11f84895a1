package dockshed.model;

import dockshed.Director.Effect;
import dockshed.Director.Outcome;
import dockshed.Director.Request;
import dockshed.Director.SessionClass;
import java.util.ArrayList;
import java.util.List;

/** A request, then its attempts, then the session that plays. */
public final class Session {
    private final Request request;
    private final SessionClass sessionClass;
    private final RenditionLadder ladder;
    private final int top;
    private final long deadline;
    private final List<EdgeServer> tried = new ArrayList<>();
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

    /** A request that has come. */
    public Session(Request request, SessionClass sessionClass, RenditionLadder ladder, long now) {
        this.request = request;
        this.sessionClass = sessionClass;
        this.ladder = ladder;
        top = Math.max(sessionClass.floor(), Math.min(request.highestRendition(), sessionClass.top()));
        deadline = now + request.clientDeadline();
        startedAt = now;
    }

    // ---- What was asked for.

    /** The request. */
    public Request request() {
        return request;
    }

    /** The request's name. */
    public String id() {
        return request.id();
    }

    /** The class of the request. */
    public SessionClass sessionClass() {
        return sessionClass;
    }

    /** The lowest rendition of its class. */
    public int floor() {
        return sessionClass.floor();
    }

    /** The best rendition that it may have. */
    public int top() {
        return top;
    }

    /** When its client gives up. */
    public long deadline() {
        return deadline;
    }

    /** The rate that it asks at a rendition. */
    public double rateKb(int rendition) {
        return ladder.rateKb(sessionClass, rendition);
    }

    // ---- Attempts.

    /** An attempt goes out at a rendition; the set-up is booked there. */
    public void send(long now, EdgeServer to, int rendition) {
        attempts++;
        tried.add(to);
        this.rendition = rendition;
        server = to;
        sentAt = now;
        to.add(this);
        to.recordChange(now, 0, rateKb());
        to.setUpSent(now);
    }

    /** The attempt is answered: it plays. */
    public void startPlaying(long now) {
        playing = true;
        startedAt = now;
        steppedAt = now;
        server.attemptAnswered();
        server.recordChange(now, rateKb(), -rateKb());
    }

    /** It played there already at the start, at its lowest rendition. */
    public void restorePlaying(long now, EdgeServer there) {
        playing = true;
        linkReadingReceived = true;
        attempts = 1;
        rendition = floor();
        server = there;
        there.add(this);
        there.recordChange(now, rateKb(), 0);
    }

    /** Takes it off its server's account. */
    public void leaveServer(long now) {
        server.remove(this);
        server.recordChange(now, playing ? -rateKb() : 0, playing ? 0 : -rateKb());
        server = null;
    }

    /** Where an attempt is out or the session plays, else null. */
    public EdgeServer server() {
        return server;
    }

    /** Attempts up to now. */
    public int attempts() {
        return attempts;
    }

    /** Whether an attempt went to the server. */
    public boolean tried(EdgeServer at) {
        return tried.contains(at);
    }

    /** Whether it played already at the start. */
    public boolean openedAtStart() {
        return sentAt == 0;
    }

    /** Its attempt ended; a full server, a refused connection and what was moot prove that it never ran. */
    public void attemptEnded(Outcome outcome) {
        mayHaveRun |= outcome != Outcome.FULL && outcome != Outcome.CONNECT_FAILED && outcome != Outcome.MOOT;
        errors += outcome == Outcome.ERROR ? 1 : 0;
    }

    /** Whether a set-up may be repeated, whatever became of it. */
    public boolean repeatable() {
        return sessionClass.effect() == Effect.SAFE;
    }

    /** Whether it may have run, and must not run again. */
    public boolean mustNotRepeat() {
        return mayHaveRun && !repeatable();
    }

    /** Attempts that ended in an error. */
    public int errors() {
        return errors;
    }

    // ---- Playing.

    /** Whether it plays. */
    public boolean playing() {
        return playing;
    }

    /** When it came, and once it plays, since when. */
    public long startedAt() {
        return startedAt;
    }

    /** The rendition in force. */
    public int rendition() {
        return rendition;
    }

    /** Whether a figure that was told names a rendition. */
    public boolean hasRendition(double told) {
        return told >= 0 && told < ladder.count();
    }

    /** The rate of the rendition in force. */
    public double rateKb() {
        return rateKb(rendition);
    }

    /** What a rendition asks over the one in force. */
    public double moreKb(int rendition) {
        return rateKb(rendition) - rateKb();
    }

    /** What a rendition earns a second over the one in force, of what the class is worth. */
    public double moreWorth(int rendition) {
        return ladder.worth(rendition) - ladder.worth(this.rendition);
    }

    /** A step to another rendition. */
    public void step(long now, int to) {
        server.recordChange(now, moreKb(to), 0);
        steppedAt = now;
        rendition = to;
    }

    /** The rendition in force is told to be another, at a server. */
    public void renditionReported(long now, EdgeServer at, int rendition) {
        double more = moreKb(rendition);
        this.rendition = rendition;
        at.recordChange(now, more, 0);
    }

    /** When it last stepped to another rendition, or began to play. */
    public long steppedAt() {
        return steppedAt;
    }

    /** It is about to be sub-rated for a newcomer. */
    public void markSubRated() {
        subRated = true;
        renditionBeforeSubRating = rendition;
    }

    /** It has stepped up again. */
    public void clearSubRated() {
        subRated = false;
    }

    /** Whether it is sub-rated for a newcomer. */
    public boolean subRated() {
        return subRated;
    }

    /** The rendition that it had before. */
    public int renditionBeforeSubRating() {
        return renditionBeforeSubRating;
    }

    // ---- The readings of its own set-up.

    /** Whether its set-up's reading of the link is still to come. */
    public boolean awaitsLinkReading() {
        return !linkReadingReceived;
    }

    /** The reading of the link has come; {@code uplinkFollows}: that of the uplink does. Whether this was the last. */
    public boolean linkReadingReceived(boolean uplinkFollows) {
        linkReadingReceived = true;
        awaitsUplinkReading = uplinkFollows;
        return !awaitsUplinkReading;
    }

    /** A reading of the uplink has come. Whether it was its set-up's. */
    public boolean uplinkReadingReceived() {
        boolean awaited = awaitsUplinkReading;
        awaitsUplinkReading = false;
        return awaited;
    }
}
