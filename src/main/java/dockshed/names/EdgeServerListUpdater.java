package dockshed.names;

import dockshed.Director.Server;
import dockshed.names.Dns.Answer;
import dockshed.names.Dns.Record;
import dockshed.names.RecordQuestions.Question;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings the list of edge servers up to date from DNS answers that may lack records, be truncated or report a failure.
 * What an answer holds is applied at once, and what it lacks is asked for by name, a few questions at a time. That
 * something is absent from an answer counts only if the answer is whole; otherwise what is known stays, and the question
 * is asked again. Performs no I/O; times are in microseconds.
 *
 * <p>A new server is listed once its address and TXT records are known, as nothing may be sent to a server without a
 * cell. The address of a known server is kept, since another machine has another id; its TXT record is asked for again
 * in turn, as it shows a restart.
 */
final class EdgeServerListUpdater {
    /** Targets taken from one list: four times as many servers as the broker supports. */
    static final int MAX_TARGETS = 4096;

    private static final Logger LOG = LoggerFactory.getLogger(EdgeServerListUpdater.class);
    private static final long UNKNOWN_SERIAL = Long.MIN_VALUE;

    /** The records of a server: its SRV record, and the others if they are known. */
    private static final class Target {
        final Record srv;
        final long namedBySerial; // of the list that the SRV record is from; UNKNOWN_SERIAL: it was cut off
        Record address;
        ServerAttributes attributes;
        Record faultyText; // logged already

        Target(Record srv, long namedBySerial) {
            this.srv = srv;
            this.namedBySerial = namedBySerial;
        }
    }

    private final EdgeServerList list;
    private final String serviceName;
    private final Map<String, Target> targets = new LinkedHashMap<>();
    private final RecordQuestions questions = new RecordQuestions();
    private long serial = -1; // of the list that the targets are from
    private boolean complete; // an answer that was not truncated has shown that list

    EdgeServerListUpdater(EdgeServerList list, String serviceName) {
        this.list = list;
        this.serviceName = serviceName;
    }

    /** Applies an answer to a list query; returns what it changes, or null where it is older than the current list. */
    List<Server> applyListAnswer(Answer answer) throws Dns.MalformedMessageException {
        long answerSerial = EdgeServerList.serial(answer.records());
        boolean withoutSerial = answerSerial < 0;
        if (withoutSerial && !answer.truncated()) {
            throw new Dns.MalformedMessageException(
                    "expected a SOA record with the serial number in a list that is not truncated");
        }
        if (withoutSerial) {
            answerSerial = Math.max(serial, list.serial()); // the serial may have been cut off
        }
        questions.listAnswered();
        if (answerSerial < list.serial()) {
            return null;
        }
        // An answer whose serial number was cut off may hold the next event.
        if (!withoutSerial && answerSerial == serial && complete && isSettled()) {
            return List.of();
        }
        boolean newList = answerSerial != serial;
        if (newList) {
            serial = answerSerial;
            complete = false; // until an answer that is not truncated shows all of it
            questions.clearWaiting();
        }
        Map<String, Record> addresses = EdgeServerList.byName(answer.records(), Dns.A);
        Map<String, Record> texts = EdgeServerList.byName(answer.records(), Dns.TXT);
        Set<String> named = new HashSet<>();
        for (Record record : answer.records()) {
            if (record.type() != Dns.SRV || !record.name().equals(serviceName) || targets.size() >= MAX_TARGETS) {
                continue;
            }
            if (!hasZone(record.target())) {
                continue;
            }
            Target previous = targets.get(record.target());
            Target target = new Target(record, withoutSerial ? UNKNOWN_SERIAL : answerSerial);
            target.address = addresses.getOrDefault(record.target(), previous == null ? null : previous.address);
            target.attributes = previous == null ? null : previous.attributes;
            target.faultyText = previous == null ? null : previous.faultyText;
            boolean known = list.get(id(record.target())) != null;
            Record text = texts.get(record.target());
            boolean told = text != null && applyText(target, text, known);
            targets.put(record.target(), target);
            named.add(record.target());
            if (target.address == null && !known) {
                questions.need(new Question(record.target(), Dns.A));
            }
            if (!told && (known ? newList || previous == null : target.attributes == null)) {
                enqueueText(record.target(), known);
            }
        }
        List<ListedServer> servers = new ArrayList<>();
        for (String name : named) {
            ListedServer listed = listedServer(targets.get(name));
            if (listed != null) {
                servers.add(listed);
            }
        }
        if (answer.truncated()) {
            complete = false; // a whole answer of the same serial number corrects what was outdated in this one
            if (newList) {
                enqueueAbsent(named);
            }
            return list.merge(answerSerial, servers);
        }
        targets.keySet().retainAll(named);
        complete = true;
        return list.replaceAll(answerSerial, servers);
    }

    private void enqueueText(String target, boolean known) {
        Question question = new Question(target, Dns.TXT);
        if (known) {
            questions.refresh(question);
        } else {
            questions.need(question);
        }
    }

    /** Queues questions whether the servers that a truncated answer does not name still have an address. */
    private void enqueueAbsent(Set<String> named) {
        String suffix = named.stream()
                .map(name -> name.split("\\.", 3))
                .filter(labels -> labels.length == 3)
                .map(labels -> "." + labels[2])
                .findFirst()
                .orElse("");
        for (ListedServer server : list.all()) {
            String target = server.server().id() + "." + server.server().zone() + suffix;
            if (!suffix.isEmpty() && !named.contains(target)) {
                questions.refresh(new Question(target, Dns.A));
            }
        }
    }

    /** Applies an answer to a question by name; returns what it changes. */
    List<Server> applyRecordAnswer(Question question, Answer answer) {
        Record record = answer.isFailure()
                ? null
                : EdgeServerList.byName(answer.records(), question.type()).get(question.target());
        if (record == null && !answer.isWhole()) {
            questions.answeredUnusably(question);
            return List.of();
        }
        if (record == null) {
            return applyAbsence(question);
        }
        Target target = targets.get(question.target());
        if (target == null) {
            questions.answered(question);
            return List.of(); // it was only missing from a truncated answer
        }
        boolean known = list.get(id(question.target())) != null;
        if (question.type() == Dns.A) {
            target.address = record;
        } else if (!applyText(target, record, known) && !known) {
            questions.answeredUnusably(question);
            return List.of();
        }
        questions.answered(question);
        ListedServer server = listedServer(target);
        return server == null ? List.of() : list.merge(serial, List.of(server));
    }

    /**
     * Takes over what a TXT record tells of a server. Returns false if it is faulty, or does not tell the cell of a
     * server of which it is not known: nothing may be sent to that.
     */
    private boolean applyText(Target target, Record text, boolean known) {
        try {
            ServerAttributes attributes = ServerAttributes.parse(text);
            if (attributes.cell() == null && !known) {
                throw new Dns.MalformedMessageException("expected a cell in the TXT record of " + text.name());
            }
            target.attributes = attributes;
            return true;
        } catch (Dns.MalformedMessageException e) {
            if (!text.equals(target.faultyText)) {
                LOG.warn("TXT record of edge server not usable: why={}", e.getMessage());
            }
            target.faultyText = text;
            return false;
        }
    }

    /**
     * The name server has no such record. A removed server has none; one that the current list names is not removed, so
     * an answer that denies it its records is outdated.
     */
    private List<Server> applyAbsence(Question question) {
        Target target = targets.get(question.target());
        boolean listed = target != null && target.namedBySerial == serial;
        boolean removal = question.type() == Dns.A && !listed;
        boolean needed = target != null && !removal && list.get(id(question.target())) == null;
        if (needed) {
            questions.answeredUnusably(question);
            return List.of();
        }
        questions.answered(question);
        if (!removal) {
            return List.of();
        }
        targets.remove(question.target());
        return list.remove(id(question.target()));
    }

    /** The next question to be asked now, or null. */
    Question nextQuestion(long now) {
        return questions.next(now);
    }

    /** Whether no question about the last list is left to be asked or answered. */
    boolean isSettled() {
        return serial >= 0 && questions.isEmpty();
    }

    /** Forgets all open questions and the list's progress: another name server is queried from now on. */
    void reset() {
        questions.clear();
        serial = -1;
        complete = false;
    }

    /** The server that the target describes; null while required records are missing. */
    private ListedServer listedServer(Target target) {
        ListedServer known = list.get(id(target.srv.target()));
        if (known == null && (target.address == null || target.attributes == null)) {
            return null;
        }
        ListedServer listed = EdgeServerList.toListedServer(target.srv, target.address, target.attributes, known);
        return target.namedBySerial == UNKNOWN_SERIAL && known != null ? withoutRevokedDrain(listed, known) : listed;
    }

    /** A list whose serial number is not known may be outdated: it does not revoke a drain. */
    private static ListedServer withoutRevokedDrain(ListedServer listed, ListedServer known) {
        boolean revoked = known.server().state().compareTo(listed.server().state()) > 0;
        return revoked
                ? new ListedServer(listed.server().withState(known.server().state()), listed.address())
                : listed;
    }

    /** Whether a target has a second label, which is the zone of its server. */
    private static boolean hasZone(String target) {
        return target.split("\\.").length >= 2;
    }

    private static String id(String target) {
        return target.split("\\.", 2)[0];
    }
}
