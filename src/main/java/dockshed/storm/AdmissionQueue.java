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
 * Queue of requests that the decision module has not received yet, ordered by a score: the worth of the class, raised the
 * nearer the viewer is to giving up, weighted by whether it returned on time; plus the time waited, so that no request
 * starves. A request that can't be admitted before its wait deadline is not queued, and the one with the lowest score is
 * removed when the queue is full.
 */
final class AdmissionQueue {
    /** Score per second of waiting: over the longest wait it exceeds the least worth of a class, but not the greatest. */
    static final double WAITING_SCORE_PER_SECOND = 2;
    /** Share of the client deadline that a request may be queued: the set-up needs the rest. */
    private static final double MAX_WAIT_SHARE = 0.5;

    /** A request and what its score depends on; {@code arrivedAt} in microseconds. */
    record QueuedRequest(
            Request request,
            SessionClass sessionClass,
            ViewerRecord viewerRecord,
            ReturnKind returnKind,
            long arrivedAt) {}

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

    /** The score of a request now; the request with the highest is admitted first. */
    static double score(long now, QueuedRequest queuedRequest) {
        double age = Math.min(
                2,
                (now - queuedRequest.viewerRecord().firstRequestAt)
                        / (double) queuedRequest.sessionClass().deadline());
        double punctuality =
                switch (queuedRequest.returnKind()) {
                    case KEPT -> 1.5;
                    case FIRST, UNTOLD -> 1;
                    case EARLY -> 0.25;
                };
        return queuedRequest.sessionClass().worth() * (1 + age) * punctuality
                + WAITING_SCORE_PER_SECOND * (now - queuedRequest.arrivedAt()) / 1e6;
    }

    /** Time until which a request may be queued. */
    long waitDeadline(QueuedRequest queuedRequest) {
        return queuedRequest.arrivedAt()
                + Math.min(terms.hold(), (long)
                        (MAX_WAIT_SHARE * queuedRequest.request().clientDeadline()));
    }

    /**
     * Queues a request if it can be admitted before its wait deadline at {@code perSecond} admissions a second.
     *
     * @return the request that is not queued after this: the one offered, or the one with the lowest score of a full queue;
     *     null if there is none
     */
    QueuedRequest offer(long now, QueuedRequest offered, double perSecond) {
        double score = score(now, offered);
        long ahead = queued.values().stream()
                .filter(other -> score(now, other) >= score)
                .count();
        if (now + (ahead + 1) / perSecond * 1e6 > waitDeadline(offered)) {
            return offered;
        }
        queued.put(offered.request().id(), offered);
        if (queued.size() <= terms.waiting()) {
            return null;
        }
        QueuedRequest lowest = highestScored(now, queued.values(), -1);
        queued.remove(lowest.request().id());
        return lowest;
    }

    /** The request with the highest score ({@code sign} 1) or the lowest ({@code sign} -1). */
    private static QueuedRequest highestScored(long now, Collection<QueuedRequest> requests, int sign) {
        QueuedRequest highest = null;
        double highestScore = 0;
        for (QueuedRequest queuedRequest : requests) {
            double score = sign * score(now, queuedRequest);
            if (highest == null || score > highestScore) {
                highest = queuedRequest;
                highestScore = score;
            }
        }
        return highest;
    }

    /** Removes and returns the request with the highest score; the queue must not be empty. */
    QueuedRequest poll(long now) {
        QueuedRequest highest = highestScored(now, queued.values(), 1);
        queued.remove(highest.request().id());
        return highest;
    }

    /** Removes and returns the requests whose wait deadline has passed. */
    List<QueuedRequest> removeExpired(long now) {
        List<QueuedRequest> expired = new ArrayList<>();
        queued.values().removeIf(queuedRequest -> now >= waitDeadline(queuedRequest) && expired.add(queuedRequest));
        return expired;
    }

    /** Removes a request by its id; returns null if it is not queued. */
    QueuedRequest remove(String request) {
        return queued.remove(request);
    }
}
