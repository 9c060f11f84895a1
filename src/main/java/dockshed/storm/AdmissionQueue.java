package dockshed.storm;

import dockshed.Director.Request;
import dockshed.Director.SessionClass;
import dockshed.storm.RequestHistory.ReturnKind;
import dockshed.storm.RequestHistory.ViewerRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests that the module has not been given yet, and who of them goes first: worth, times how near its viewer is to
 * giving up, by how it kept its appointment; and what it has waited, so that nobody starves. Nobody waits in vain: one
 * whose turn cannot come in its time is not taken in, and the least is put out where the room is full.
 */
final class AdmissionQueue {
    /** Points for each second of waiting: over the hold it outweighs the least worth, not the greatest. */
    static final double WAITING_SCORE_PER_SECOND = 2;
    /** Of the time left to a request, what waiting may take: its set-up needs the rest. */
    private static final double MAX_WAIT_SHARE = 0.5;

    record QueuedRequest(
            Request request, SessionClass cls, ViewerRecord viewerRecord, ReturnKind returnKind, long arrivedAt) {}

    private final Terms terms;
    private final Map<String, QueuedRequest> queued = new LinkedHashMap<>();

    AdmissionQueue(Terms terms) {
        this.terms = terms;
    }

    boolean isEmpty() {
        return queued.isEmpty();
    }

    int size() {
        return queued.size();
    }

    /** What a request counts for now. */
    static double score(long now, QueuedRequest w) {
        double age = Math.min(
                2, (now - w.viewerRecord().firstRequestAt) / (double) w.cls().deadline());
        double kept =
                switch (w.returnKind()) {
                    case KEPT -> 1.5;
                    case FIRST, UNTOLD -> 1;
                    case EARLY -> 0.25;
                };
        return w.cls().worth() * (1 + age) * kept + WAITING_SCORE_PER_SECOND * (now - w.arrivedAt()) / 1e6;
    }

    /** Until when a request may wait. */
    long waitDeadline(QueuedRequest w) {
        return w.arrivedAt()
                + Math.min(terms.hold(), (long) (MAX_WAIT_SHARE * w.request().clientDeadline()));
    }

    /**
     * Takes one in if its turn can come in time at so many a second. What does not wait is returned: the one that came,
     * or the least of those that waited, or null.
     */
    QueuedRequest offer(long now, QueuedRequest w, double perSecond) {
        double score = score(now, w);
        long before =
                queued.values().stream().filter(o -> score(now, o) >= score).count();
        if (now + (before + 1) / perSecond * 1e6 > waitDeadline(w)) {
            return w;
        }
        queued.put(w.request().id(), w);
        if (queued.size() <= terms.waiting()) {
            return null;
        }
        QueuedRequest least = best(now, queued.values(), -1);
        queued.remove(least.request().id());
        return least;
    }

    private static QueuedRequest best(long now, Collection<QueuedRequest> of, int sign) {
        QueuedRequest best = null;
        double most = 0;
        for (QueuedRequest w : of) {
            double score = sign * score(now, w);
            if (best == null || score > most) {
                best = w;
                most = score;
            }
        }
        return best;
    }

    /** The one whose turn it is; it waits no longer. */
    QueuedRequest poll(long now) {
        QueuedRequest best = best(now, queued.values(), 1);
        queued.remove(best.request().id());
        return best;
    }

    /** Those that have waited for as long as they may; they wait no longer. */
    List<QueuedRequest> removeExpired(long now) {
        List<QueuedRequest> out = new ArrayList<>();
        queued.values().removeIf(w -> now >= waitDeadline(w) && out.add(w));
        return out;
    }

    QueuedRequest remove(String request) {
        return queued.remove(request);
    }
}
