package dockshed.core;

import dockshed.Director.SessionClass;
import dockshed.core.TimerQueue.Timer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/** A request and, once a server has answered its set-up, the session that it became. */
final class BrokerSession {
    long handle;
    String id;
    SessionRequest request;
    final Front front;
    final ServerAdapter adapter;
    final SessionClass sessionClass;
    final long receivedAt;
    long connection;
    ServerEntry server; // of the pending or latest attempt, or of the active session; null before the first
    int attempts;
    boolean attemptPending;
    boolean active;
    boolean mayHaveRun;
    boolean answered;
    int rendition;
    int sentRendition;
    long activeSince;
    Timer attemptTimer;
    Timer clientDeadlineTimer;
    final List<LongConsumer> earlyMetrics = new ArrayList<>(1); // received before the answer to the set-up

    BrokerSession(
            SessionRequest request,
            Front front,
            ServerAdapter adapter,
            SessionClass sessionClass,
            long connection,
            long now) {
        this.request = request;
        this.front = front;
        this.adapter = adapter;
        this.sessionClass = sessionClass;
        this.connection = connection;
        receivedAt = now;
        rendition = sessionClass.lowestRendition();
    }
}
