package dockshed.names;

import dockshed.Director.Server;
import dockshed.names.Dns.Answer;
import dockshed.names.Dns.Record;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Brings the fleet's list up to date from answers that may lack records or be cut: what is told counts at once, what is
 * lacking is asked for by name, a few at a time, and a server's absence from a cut answer is never taken for its end. No I/O.
 *
 * <p>A new server is listed once its address and its text are known, as without a cell nothing may be sent there. Of one
 * that is known the address stands, since another machine has another id; its text is asked for again in turn, as it
 * tells of a restart.
 */
final class EdgeServerListUpdater {
    /** Questions out at a time: a fleet's brokers ask the same service, and its answers to the list must not wait. */
    static final int MAX_OPEN_QUESTIONS = 16;
    /** Of them, those between two looks that ask for what is known already. */
    static final int MAX_REFRESHES_PER_LIST = 4;
    /** A question unanswered for so long is put again. */
    static final long QUESTION_TIMEOUT_US = 1_000_000;
    /** Targets of one list at most: as many as the program bears, four times over. */
    static final int MAX_TARGETS = 4096;

    record Question(String target, int type) {}

    /** What an answer to the list says of a target: its SRV record, and the others as far as they are known. */
    private static final class Target {
        final Record srv;
        Record address;
        Record txt;

        Target(Record service) {
            this.srv = service;
        }
    }

    private final EdgeServerList list;
    private final String serviceName;
    private final Map<String, Target> targets = new LinkedHashMap<>();
    private final Set<Question> neededQuestions = new LinkedHashSet<>();
    private final Set<Question> refreshQuestions = new LinkedHashSet<>();
    private final Map<Question, Long> openQuestions = new HashMap<>();
    private long serial = -1;
    private boolean complete;
    private int refreshesLeft;

    EdgeServerListUpdater(EdgeServerList list, String service) {
        this.list = list;
        this.serviceName = service;
    }

    /** An answer to the question for the whole list: what changes by it; null where it is of no use or older than known. */
    List<Server> applyListAnswer(Answer a) throws Dns.MalformedMessageException {
        long told = EdgeServerList.serial(a.records());
        boolean undated = told < 0;
        if (undated && !a.truncated()) {
            throw new Dns.MalformedMessageException("list without a serial");
        }
        if (undated) {
            told = Math.max(serial, list.serial()); // what was cut off may be the serial
        }
        refreshesLeft = MAX_REFRESHES_PER_LIST;
        if (told < list.serial() || told == serial && complete && isSettled()) {
            return told < list.serial() ? null : List.of();
        }
        boolean news = told != serial;
        if (news) {
            serial = told;
            complete = false; // until one that is not cut has told all of it
            neededQuestions.clear();
            refreshQuestions.clear();
        }
        Map<String, Record> addresses = EdgeServerList.byName(a.records(), Dns.A);
        Map<String, Record> texts = EdgeServerList.byName(a.records(), Dns.TXT);
        Set<String> named = new HashSet<>();
        for (Record r : a.records()) {
            if (r.type() != Dns.SRV || !r.name().equals(serviceName) || targets.size() >= MAX_TARGETS) {
                continue;
            }
            Target was = targets.get(r.target());
            Target t = new Target(r);
            t.address = addresses.getOrDefault(r.target(), was == null ? null : was.address);
            t.txt = texts.getOrDefault(r.target(), was == null ? null : was.txt);
            targets.put(r.target(), t);
            named.add(r.target());
            boolean known = list.get(id(r.target())) != null;
            if (t.address == null && !known) {
                enqueue(neededQuestions, r.target(), Dns.A);
            }
            if (!texts.containsKey(r.target()) && (known ? news || was == null : t.txt == null)) {
                enqueue(known ? refreshQuestions : neededQuestions, r.target(), Dns.TXT);
            }
        }
        List<ListedServer> listings = new ArrayList<>();
        for (String target : named) {
            ListedServer l = listing(targets.get(target));
            ListedServer was = l == null ? null : list.get(l.server().id());
            // One without a date may be late: it takes no drain back.
            if (l != null
                    && !(undated
                            && was != null
                            && was.server().state().compareTo(l.server().state()) > 0)) {
                listings.add(l);
            }
        }
        if (a.truncated()) {
            if (news) {
                enqueueAbsent(named);
            }
            return list.merge(told, listings);
        }
        targets.keySet().retainAll(named);
        complete = true;
        return list.replaceAll(told, listings);
    }

    private void enqueue(Set<Question> among, String target, int type) {
        Question q = new Question(target, type);
        if (!openQuestions.containsKey(q)) {
            among.add(q);
        }
    }

    /** Of the servers that a cut answer does not name: whether they have an address still. */
    private void enqueueAbsent(Set<String> named) {
        String suffix = named.stream()
                .map(n -> n.split("\\.", 3))
                .filter(l -> l.length == 3)
                .map(l -> "." + l[2])
                .findFirst()
                .orElse("");
        for (ListedServer l : list.all()) {
            String target = l.server().id() + "." + l.server().zone() + suffix;
            if (!suffix.isEmpty() && !named.contains(target)) {
                enqueue(refreshQuestions, target, Dns.A);
            }
        }
    }

    /** An answer to a question by name: what changes by it. */
    List<Server> applyRecordAnswer(Question q, Answer a) throws Dns.MalformedMessageException {
        openQuestions.remove(q);
        Record r = EdgeServerList.byName(a.records(), q.type()).get(q.target());
        Target t = targets.get(q.target());
        if (r == null && q.type() == Dns.A) { // one that is gone has no records
            targets.remove(q.target());
            return list.remove(id(q.target()));
        }
        if (t == null) {
            return List.of(); // only absent from a cut answer, and there still
        }
        if (q.type() == Dns.A) {
            t.address = r;
        } else {
            t.txt = r != null ? r : new Record(q.target(), Dns.TXT, 0, 0, 0, null, null, List.of(), 0);
        }
        ListedServer l = listing(t);
        return l == null ? List.of() : list.merge(serial, List.of(l));
    }

    /** The next question to be put now, or null. */
    Question nextQuestion(long now) {
        for (Map.Entry<Question, Long> e : openQuestions.entrySet()) {
            if (now - e.getValue() > QUESTION_TIMEOUT_US) {
                e.setValue(now);
                return e.getKey();
            }
        }
        if (openQuestions.size() >= MAX_OPEN_QUESTIONS) {
            return null;
        }
        Question q = null;
        if (!neededQuestions.isEmpty()) {
            q = neededQuestions.iterator().next();
            neededQuestions.remove(q);
        } else if (!refreshQuestions.isEmpty() && refreshesLeft > 0) {
            refreshesLeft--;
            q = refreshQuestions.iterator().next();
            refreshQuestions.remove(q);
        }
        if (q != null) {
            openQuestions.put(q, now);
        }
        return q;
    }

    /** Whether nothing of the last list, as far as it was shown, is still to be asked for or answered. */
    boolean isSettled() {
        return serial >= 0 && neededQuestions.isEmpty() && refreshQuestions.isEmpty() && openQuestions.isEmpty();
    }

    /** Another server is asked from now on: what was out is put to it as its list wants. */
    void reset() {
        openQuestions.clear();
        neededQuestions.clear();
        refreshQuestions.clear();
        serial = -1;
        complete = false;
    }

    /** What is known of the target as a server of the list; null while it lacks what it can't do without. */
    private ListedServer listing(Target t) throws Dns.MalformedMessageException {
        ListedServer known = list.get(id(t.srv.target()));
        if (known == null && (t.address == null || t.txt == null)) {
            return null;
        }
        return EdgeServerList.toListedServer(t.srv, t.address, t.txt, known);
    }

    private static String id(String target) {
        return target.split("\\.", 2)[0];
    }
}
