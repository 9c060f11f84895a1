package dockshed.names;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The questions for single records that the list of edge servers lacks: which of them wait, and which are open. Only a
 * few are asked at a time. Performs no I/O; times are in microseconds.
 */
final class RecordQuestions {
    /** Concurrent questions: all brokers ask the same name server, and its answers to list queries must not wait. */
    static final int MAX_OPEN = 16;
    /** Questions between two list queries that only refresh records already known. */
    static final int MAX_REFRESHES_PER_LIST = 4;
    /** A question unanswered for this long is asked again. */
    static final long TIMEOUT_US = 1_000_000;

    /**
     * A question for the records of one type of a server's name.
     *
     * @param listSerial serial number of the newest list known when it was raised: the answer is no older than that
     */
    record Question(String target, int type, long listSerial) {}

    /** What is kept of an open question: the queue that it is from, and when it was last asked. */
    private record Asked(Set<Question> queue, long at) {}

    private final Set<Question> needed = new LinkedHashSet<>();
    private final Set<Question> refreshes = new LinkedHashSet<>();
    private final Map<Question, Asked> open = new HashMap<>();
    private final Set<Question> unusablyAnswered = new LinkedHashSet<>(); // of the open ones
    private int refreshesLeft;

    /** Queues a question for a record without which a server cannot be listed, unless it is open already. */
    void need(Question question) {
        enqueue(needed, question);
    }

    /** Queues a question for a record that may have changed, unless it is open already. */
    void refresh(Question question) {
        enqueue(refreshes, question);
    }

    private void enqueue(Set<Question> queue, Question question) {
        if (!open.containsKey(question)) {
            queue.add(question);
        }
    }

    /** An answer to a list query has come: refreshes, and questions whose answers were unusable, may be asked again. */
    void listAnswered() {
        refreshesLeft = MAX_REFRESHES_PER_LIST;
        for (Question question : unusablyAnswered) {
            Asked asked = open.remove(question);
            asked.queue().add(question);
        }
        unusablyAnswered.clear();
    }

    /** The next question to be asked now, or null. */
    Question next(long now) {
        for (Map.Entry<Question, Asked> asked : open.entrySet()) {
            if (now - asked.getValue().at() > TIMEOUT_US) {
                asked.setValue(new Asked(asked.getValue().queue(), now));
                unusablyAnswered.remove(asked.getKey());
                return asked.getKey();
            }
        }
        if (open.size() >= MAX_OPEN) {
            return null;
        }
        if (!needed.isEmpty()) {
            return askFirst(needed, now);
        }
        if (!refreshes.isEmpty() && refreshesLeft > 0) {
            refreshesLeft--;
            return askFirst(refreshes, now);
        }
        return null;
    }

    private Question askFirst(Set<Question> queue, long now) {
        Question first = queue.iterator().next();
        queue.remove(first);
        open.put(first, new Asked(queue, now));
        return first;
    }

    /** The question is answered. */
    void answered(Question question) {
        open.remove(question);
        unusablyAnswered.remove(question);
    }

    /**
     * The answer to the question tells nothing. It stays open, and is asked again after the next answer to a list query,
     * behind those that wait.
     */
    void answeredUnusably(Question question) {
        if (open.containsKey(question)) {
            unusablyAnswered.add(question);
        }
    }

    /** Drops all questions; an answer to one of them counts as to none that is raised later. */
    void clear() {
        needed.clear();
        refreshes.clear();
        open.clear();
        unusablyAnswered.clear();
    }

    /** Whether no question is left to be asked or answered. */
    boolean isEmpty() {
        return needed.isEmpty() && refreshes.isEmpty() && open.isEmpty();
    }
}
