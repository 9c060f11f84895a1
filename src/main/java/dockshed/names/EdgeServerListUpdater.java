package dockshed.names;

import dockshed.Director.Server;
import dockshed.names.Dns.Answer;
import dockshed.names.Dns.Record;
import dockshed.names.RecordQuestions.Question;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

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

    private final EdgeServerList list;
    private final String serviceName;
    private final Map<String, ServerRecords> targets = new LinkedHashMap<>();
    private final RecordQuestions questions = new RecordQuestions();
    private long serial = -1; // of the list that the targets are from
    private boolean complete; // an answer that was not truncated has shown that list

    EdgeServerListUpdater(EdgeServerList list, String serviceName) {
        this.list = list;
        this.serviceName = serviceName;
    }

    /** Applies an answer to a list query; returns what it changes, or null where it is older than the current list. */
    List<Server> applyListAnswer(Answer answer, long now) throws Dns.MalformedMessageException {
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
            questions.clear(); // an answer to one of them may be older than this list
            targets.values().forEach(ServerRecords::listChanged);
        }
        Set<String> named = applyRecords(answer, withoutSerial, now);
        if (!answer.truncated()) {
            targets.keySet()
                    .removeIf(
                            name -> !named.contains(name) && !targets.get(name).isHeld(now));
        }
        Collection<String> shown = answer.truncated() ? named : targets.keySet();
        List<ListedServer> servers = shown.stream()
                .map(name -> listedServer(targets.get(name), now))
                .filter(Objects::nonNull)
                .toList();
        if (answer.truncated()) {
            complete = false; // a whole answer of the same serial number corrects what was outdated in this one
            if (newList) {
                enqueueAbsent(named);
            }
            return list.merge(answerSerial, servers);
        }
        complete = targets.values().stream().noneMatch(target -> target.isHeld(now) || target.isDrainHeld(now));
        return list.replaceAll(answerSerial, servers);
    }

    /** Takes over the records of a list, and queues questions for those it lacks; returns the targets that it names. */
    private Set<String> applyRecords(Answer answer, boolean withoutSerial, long now) {
        Map<String, Record> addresses = EdgeServerList.byName(answer.records(), Dns.A);
        Map<String, Record> texts = EdgeServerList.byName(answer.records(), Dns.TXT);
        Set<String> named = new HashSet<>();
        for (Record record : answer.records()) {
            if (!isEdgeServer(record) || !targets.containsKey(record.target()) && targets.size() >= MAX_TARGETS) {
                continue;
            }
            ServerRecords target = targets.computeIfAbsent(record.target(), this::newTarget);
            target.applyService(record, withoutSerial ? ServerRecords.UNKNOWN_SERIAL : serial, now);
            target.applyAddress(addresses.get(record.target()));
            Record text = texts.get(record.target());
            boolean textMayBeOutdated = withoutSerial && (isListed(target) || target.hasAttributes());
            boolean told = text != null && !textMayBeOutdated && target.applyText(text, serial, isListed(target));
            enqueueMissing(target, told);
            named.add(record.target());
        }
        return named;
    }

    private ServerRecords newTarget(String name) {
        return new ServerRecords(list.get(id(name)) != null);
    }

    /** Whether a record names an edge server; the second label of its target is the zone. */
    private boolean isEdgeServer(Record record) {
        return record.type() == Dns.SRV
                && record.name().equals(serviceName)
                && record.target().split("\\.").length >= 2;
    }

    /**
     * Queues questions for the records that a list lacks of a server; {@code told}: it holds its TXT record. That is
     * asked for once for each serial number, as the server may have restarted, or until it is known.
     */
    private void enqueueMissing(ServerRecords target, boolean told) {
        boolean listed = isListed(target);
        if (!target.hasAddress() && !listed) {
            questions.need(new Question(target.name(), Dns.A, serial));
        }
        if (told) {
            return;
        }
        Question textQuestion = new Question(target.name(), Dns.TXT, serial);
        boolean first = target.markTextAskedFor();
        if (!listed && !target.hasAttributes()) {
            questions.need(textQuestion);
        } else if (first) {
            questions.refresh(textQuestion);
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
                questions.refresh(new Question(target, Dns.A, serial));
            }
        }
    }

    /** Applies an answer to a question by name; returns what it changes. */
    List<Server> applyRecordAnswer(Question question, Answer answer, long now) {
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
        ServerRecords target = targets.get(question.target());
        if (target == null) {
            questions.answered(question);
            return List.of(); // it was only missing from a truncated answer
        }
        if (question.type() == Dns.A) {
            target.applyAddress(record);
        } else if (target.isAskedLater(question.listSerial())) {
            return List.of(); // asked before what is known
        } else if (!target.applyText(record, question.listSerial(), isListed(target)) && !isListed(target)) {
            questions.answeredUnusably(question);
            return List.of();
        }
        questions.answered(question);
        ListedServer server = listedServer(target, now);
        return server == null ? List.of() : list.merge(serial, List.of(server));
    }

    /**
     * The name server has no such record. A removed server has none; one that the current list names is not removed, so
     * an answer that denies it its records is outdated.
     */
    private List<Server> applyAbsence(Question question) {
        if (question.listSerial() != serial) {
            return List.of(); // it may have records by the list that has come since
        }
        ServerRecords target = targets.get(question.target());
        boolean named = target != null && target.isNamedBy(serial);
        boolean removed = question.type() == Dns.A && !named;
        if (!removed && target != null && !isListed(target)) {
            questions.answeredUnusably(question); // it cannot be listed without the record
            return List.of();
        }
        questions.answered(question);
        if (!removed) {
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

    private ListedServer listedServer(ServerRecords target, long now) {
        return target.toListedServer(list.get(id(target.name())), now);
    }

    private boolean isListed(ServerRecords target) {
        return list.get(id(target.name())) != null;
    }

    private static String id(String target) {
        return target.split("\\.", 2)[0];
    }
}
