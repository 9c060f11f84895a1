package dockshed.names;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director.ListScope;
import dockshed.Director.Server;
import dockshed.Director.State;
import dockshed.names.DnsTest.AnswerBuilder;
import dockshed.names.RecordQuestions.Question;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What answers may change that arrive truncated, failed, late or outdated, or that hold a faulty record. */
class UnusableAnswersTest {
    private static final int MAX_ANSWER_BYTES = 8000;
    private static final int SERVER_FAILURE = 2;
    private static final Server KNOWN = new Server("a", "east", "std", 3, State.UP, 4, 1_500_000);

    private final EdgeServerList list = new EdgeServerList();
    private final EdgeServerListUpdater updater = new EdgeServerListUpdater(list, DnsDiscovery.SERVICE_NAME);
    private long now = 10_000_000;

    /** The known server a, and b in the same cell. */
    private void addKnownServers() {
        list.applyConfigured(
                5,
                ListScope.DISK,
                List.of(
                        new ListedServer(KNOWN, new InetSocketAddress("127.0.0.1", 5000)),
                        new ListedServer(
                                new Server("b", "east", "std", 3, State.UP, 4, 0),
                                new InetSocketAddress("127.0.0.1", 5001))));
    }

    private static String target(String id) {
        return id + ".east.hosts";
    }

    /** A list of SRV records only; an id that starts with '-' is draining. */
    private static AnswerBuilder listOf(String... ids) {
        AnswerBuilder answer = new AnswerBuilder(1, DnsDiscovery.SERVICE_NAME, Dns.SRV);
        for (String id : ids) {
            answer.srv(target(id.replace("-", "")), id.startsWith("-") ? 1 : 0, 40, 5000);
        }
        return answer;
    }

    private List<Server> applyList(int serial, String... ids) throws Exception {
        return updater.applyListAnswer(Dns.parse(listOf(ids).soa(serial).bytes()), now);
    }

    /** A list that is cut off before its serial number. */
    private List<Server> applyListWithoutSerial(String... ids) throws Exception {
        return updater.applyListAnswer(Dns.parse(listOf(ids).truncated(MAX_ANSWER_BYTES)), now);
    }

    /** All questions that are asked now, each as TYPE ID. */
    private List<Question> ask() {
        List<Question> asked = new ArrayList<>();
        for (Question question = updater.nextQuestion(now); question != null; question = updater.nextQuestion(now)) {
            asked.add(question);
        }
        return asked;
    }

    /** Asks all questions there are now, and returns the one for this record. */
    private Question askFor(String id, int type) {
        List<Question> asked = ask();
        return asked.stream()
                .filter(question -> question.target().equals(target(id)) && question.type() == type)
                .findFirst()
                .orElseThrow(() -> new AssertionError("not asked for, but " + asked));
    }

    private static AnswerBuilder answerTo(Question question) {
        return new AnswerBuilder(1, question.target(), question.type());
    }

    private List<Server> reply(Question question, byte[] answer) throws Exception {
        return updater.applyRecordAnswer(question, Dns.parse(answer), now);
    }

    private List<Server> replyAddress(Question question) throws Exception {
        return reply(question, answerTo(question).a(question.target(), 9).bytes());
    }

    private List<Server> replyText(Question question, String... texts) throws Exception {
        return reply(question, answerTo(question).txt(question.target(), texts).bytes());
    }

    /** The answer with its one record, cut off within that record. */
    private static byte[] cutWithinRecord(Question question) {
        AnswerBuilder answer = question.type() == Dns.A
                ? answerTo(question).a(question.target(), 9)
                : answerTo(question).txt(question.target(), "kind=std", "cell=7", "started=0");
        return answer.truncated(answer.bytes().length - 1);
    }

    private static String describe(List<Server> servers) {
        return servers.stream().map(s -> s.id() + " " + s.state()).toList().toString();
    }

    @Test
    void cutTextAnswerChangesNothingOfAKnownServer() throws Exception {
        // Guards against set-ups at edge servers that do not hold the title: a TXT answer without a record, as it was
        // cut short, put the server into cell 0.
        addKnownServers();
        applyList(6, "a", "b");
        Question question = askFor("a", Dns.TXT);
        assertEquals(List.of(), reply(question, cutWithinRecord(question)));
        assertEquals(KNOWN, list.get("a").server());
        applyList(6, "a", "b");
        Server restarted = new Server("a", "east", "std", 3, State.UP, 4, 2_500_000);
        assertEquals(
                List.of(restarted),
                replyText(askFor("a", Dns.TXT), "kind=std", "cell=3", "started=2500"),
                "asked again");
    }

    @Test
    void cutTextAnswerListsNoNewServer() throws Exception {
        // Guards against set-ups at a new edge server in cell 0, where it is not.
        applyList(6, "n");
        List<Question> asked = ask();
        Question text =
                asked.stream().filter(q -> q.type() == Dns.TXT).findFirst().orElseThrow();
        Question address =
                asked.stream().filter(q -> q.type() == Dns.A).findFirst().orElseThrow();
        assertEquals(List.of(), reply(text, cutWithinRecord(text)));
        assertEquals(List.of(), replyAddress(address), "its cell is not known");
        applyList(6, "n");
        assertEquals(
                List.of(new Server("n", "east", "std", 7, State.UP, 4, 0)),
                replyText(askFor("n", Dns.TXT), "kind=std", "cell=7", "started=0"));
    }

    @Test
    void cutAddressAnswerRemovesNoServer() throws Exception {
        // Guards against sessions ended at an edge server that still plays them: an A answer without a record, as it
        // was
        // cut short, counted as the removal of the server.
        addKnownServers();
        updater.applyListAnswer(Dns.parse(listOf("b").soa(6).truncated(MAX_ANSWER_BYTES)), now);
        Question question = askFor("a", Dns.A);
        assertEquals(List.of(), reply(question, cutWithinRecord(question)));
        updater.applyListAnswer(Dns.parse(listOf("b").soa(6).truncated(MAX_ANSWER_BYTES)), now);
        Question again = askFor("a", Dns.A);
        assertEquals(
                "[a GONE]",
                describe(reply(again, answerTo(again).responseCode(Dns.NXDOMAIN).bytes())));
    }

    @Test
    void questionWhoseAnswerIsAFailureIsAskedAgainAndChangesNothing() throws Exception {
        // Guards against a server removed by a name server that only failed to answer.
        addKnownServers();
        updater.applyListAnswer(Dns.parse(listOf("b").soa(6).truncated(MAX_ANSWER_BYTES)), now);
        Question question = askFor("a", Dns.A);
        assertEquals(
                List.of(),
                reply(question, answerTo(question).responseCode(SERVER_FAILURE).bytes()));
        updater.applyListAnswer(Dns.parse(listOf("b").soa(6).truncated(MAX_ANSWER_BYTES)), now);
        askFor("a", Dns.A);
    }

    @Test
    void unusableAnswersToManyQuestionsKeepNoOtherQuestionWaiting() throws Exception {
        // Guards against questions that are never asked, because those in front of them are never answered usably.
        String[] ids = new String[2 * RecordQuestions.MAX_OPEN];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = "s" + i;
        }
        List<String> askedTargets = new ArrayList<>();
        for (int listAnswer = 0; listAnswer < 4; listAnswer++) {
            applyList(6, ids);
            List<Question> asked = ask();
            assertTrue(asked.size() <= RecordQuestions.MAX_OPEN, "concurrent questions: " + asked.size());
            for (Question question : asked) {
                askedTargets.add(question.target() + question.type());
                reply(question, cutWithinRecord(question));
                assertEquals(List.of(), ask(), "not asked again at once");
            }
        }
        assertEquals(2 * ids.length, askedTargets.stream().distinct().count());
    }

    @Test
    void listIsNotSettledWhileARecordThatItNamesIsMissing() throws Exception {
        // Guards against a new edge server that stays unlisted until the next event: an outdated answer said that it
        // had no address, and the list of the same serial number was taken as settled.
        applyList(6, "n");
        for (Question question : ask()) {
            reply(question, answerTo(question).responseCode(Dns.NXDOMAIN).bytes());
        }
        applyList(6, "n");
        List<Server> listed = new ArrayList<>();
        for (Question question : ask()) {
            listed.addAll(
                    question.type() == Dns.A
                            ? replyAddress(question)
                            : replyText(question, "kind=std", "cell=7", "started=0"));
        }
        assertEquals("[n UP]", describe(listed));
        assertTrue(updater.isSettled());
    }

    @Test
    void recordsThatAreAbsentRemoveNoServerThatTheListNames() throws Exception {
        // Guards against a removal by an outdated answer: the list of the newest serial number names the server.
        addKnownServers();
        updater.applyListAnswer(Dns.parse(listOf("b").soa(6).truncated(MAX_ANSWER_BYTES)), now);
        Question question = askFor("a", Dns.A);
        assertEquals("[]", describe(applyList(6, "a", "b")));
        assertEquals(
                List.of(),
                reply(question, answerTo(question).responseCode(Dns.NXDOMAIN).bytes()));
        assertEquals(KNOWN, list.get("a").server());
    }

    @Test
    void drainInACutListIsAppliedThoughTheListIsSettled() throws Exception {
        // Guards against set-ups at an edge server that drains: cut off before its serial number, the list of the next
        // event was taken for the one already known, and passed over.
        addKnownServers();
        applyList(6, "a", "b");
        for (Question question : ask()) {
            replyText(
                    question,
                    "kind=std",
                    "cell=3",
                    "started=" + (question.target().startsWith("a") ? 1500 : 0));
        }
        assertTrue(updater.isSettled());
        assertEquals("[b DRAINING]", describe(applyListWithoutSerial("a", "-b")));
    }

    /** Answers all questions there are with what is known already. */
    private void settle() throws Exception {
        for (Question question : ask()) {
            replyText(
                    question,
                    "kind=std",
                    "cell=3",
                    "started=" + (question.target().startsWith("a") ? 1500 : 0));
        }
        assertTrue(updater.isSettled());
    }

    @Test
    void drainThatACutListToldIsNotRevokedByAWholeListThatIsLate() throws Exception {
        // Guards against set-ups at an edge server that drains: the cut list held a later event than the whole ones
        // that
        // arrived after it.
        addKnownServers();
        applyList(6, "a", "b");
        settle();
        applyListWithoutSerial("a", "-b");
        assertEquals("[]", describe(applyList(6, "a", "b")));
        assertEquals("[]", describe(applyList(7, "a", "b")));
        assertEquals(State.DRAINING, list.get("b").server().state());
        now += ServerRecords.HOLD_US;
        assertEquals("[b UP]", describe(applyList(7, "a", "b")), "the cut list was outdated, or the drain was revoked");
    }

    @Test
    void newServerThatACutListNamedIsNotRemovedByAWholeListThatIsLate() throws Exception {
        // Guards against sessions ended at a new edge server that plays them, for the same reason.
        addKnownServers();
        applyList(6, "a", "b");
        settle();
        applyListWithoutSerial("a", "b", "n");
        for (Question question : ask()) {
            if (question.type() == Dns.A) {
                replyAddress(question);
            } else {
                replyText(question, "kind=std", "cell=7", "started=0");
            }
        }
        assertEquals("[]", describe(applyList(6, "a", "b")));
        assertEquals(7, list.get("n").server().cell());
        now += ServerRecords.HOLD_US;
        assertEquals("[n GONE]", describe(applyList(6, "a", "b")));
    }

    @Test
    void cutListWithoutSerialRevokesNoDrainByALaterTextAnswer() throws Exception {
        // Guards against a drain revoked by an outdated SRV record that a later TXT answer brought in.
        addKnownServers();
        assertEquals("[b DRAINING]", describe(applyList(6, "a", "-b")));
        Question question = askFor("b", Dns.TXT);
        applyListWithoutSerial("a", "b");
        assertEquals(
                "[b DRAINING]",
                describe(replyText(question, "kind=std", "cell=3", "started=2500")),
                "restarted, and draining as before");
    }

    @Test
    void cutListWithoutSerialRevokesNoDrainOfAServerThatIsNotListedYet() throws Exception {
        // Guards against a new edge server listed as up though the list says that it drains: an outdated one, cut off
        // before its serial number, came before the server's address was known.
        applyList(6, "-n");
        List<Question> asked = ask();
        applyListWithoutSerial("n");
        List<Server> listed = new ArrayList<>();
        for (Question question : asked) {
            listed.addAll(
                    question.type() == Dns.A
                            ? replyAddress(question)
                            : replyText(question, "kind=std", "cell=7", "started=0"));
        }
        assertEquals("[n DRAINING]", describe(listed));
    }

    @Test
    void faultyTextRecordHoldsUpNoOtherServer() throws Exception {
        // Guards against drains that are not heeded, as one faulty TXT record made the whole list unreadable.
        addKnownServers();
        applyList(6, "a", "b");
        Question question = askFor("a", Dns.TXT);
        assertEquals(List.of(), replyText(question, "kind=std", "cell=x", "started=0"));
        assertEquals(KNOWN, list.get("a").server());
        assertEquals("[b DRAINING]", describe(applyList(7, "a", "-b")));
        AnswerBuilder withText =
                listOf("-a", "-b").soa(8).a(target("a"), 1).txt(target("a"), "kind=std", "cell=", "started=0");
        assertEquals("[a DRAINING]", describe(updater.applyListAnswer(Dns.parse(withText.bytes()), now)));
        assertEquals(3, list.get("a").server().cell());
    }

    @Test
    void targetWithoutAZoneHoldsUpNoOtherServer() throws Exception {
        // Guards against drains that are not heeded, as one faulty SRV record made the whole list unreadable.
        addKnownServers();
        AnswerBuilder answer = listOf("a", "-b").srv("lost", 0, 40, 5000).soa(6);
        answer.a("lost", 9).txt("lost", "kind=std", "cell=1", "started=0");
        assertEquals("[b DRAINING]", describe(updater.applyListAnswer(Dns.parse(answer.bytes()), now)));
    }

    @Test
    void textWithoutACellChangesNoCellAndListsNoNewServer() throws Exception {
        // Guards against cell 0 for an edge server whose TXT record does not name its cell.
        addKnownServers();
        applyList(6, "a", "b", "n");
        for (Question question : ask()) {
            if (question.type() == Dns.A) {
                replyAddress(question);
            } else {
                replyText(question, "kind=std", "started=" + (question.target().startsWith("a") ? 1500 : 0));
            }
        }
        assertEquals(3, list.get("a").server().cell());
        assertEquals(null, list.get("n"));
    }

    @Test
    void restartIsAskedForAlsoWhereOnlyTheWholeListNamesTheServer() throws Exception {
        // Guards against a restart that is not noticed: the first answer with the newest serial number was cut off
        // before the server, and the whole one after it counted as the same list.
        addKnownServers();
        applyList(5, "a", "b");
        ask();
        updater.applyListAnswer(Dns.parse(listOf("b").soa(6).truncated(MAX_ANSWER_BYTES)), now);
        ask();
        applyList(6, "a", "b");
        assertEquals(6, askFor("a", Dns.TXT).listSerial());
    }

    @Test
    void restartIsAskedForAlsoOfAServerThatIsNotListedYet() throws Exception {
        // Guards against a new edge server that counts as warm though it has restarted: its TXT record was known from
        // before, and it was listed by the address that came later.
        applyList(6, "n");
        List<Question> asked = ask();
        for (Question question : asked) {
            if (question.type() == Dns.TXT) {
                replyText(question, "kind=std", "cell=7", "started=0");
            }
        }
        applyList(7, "n");
        assertEquals(7, askFor("n", Dns.TXT).listSerial());
    }

    @Test
    void answerToAQuestionOfAnEarlierListDoesNotSettleTheNewOne() throws Exception {
        // Guards against a restart that is not noticed: it was told by the newer list, and the answer to the question
        // that was asked before it counted for both.
        addKnownServers();
        applyList(6, "a", "b");
        Question early = askFor("a", Dns.TXT);
        applyList(7, "a", "b");
        Question late = askFor("a", Dns.TXT);
        replyText(late, "kind=std", "cell=3", "started=2500");
        assertEquals(2_500_000, list.get("a").server().upSince());
        assertEquals(List.of(), replyText(early, "kind=std", "cell=3", "started=1500"), "outdated");
        assertEquals(2_500_000, list.get("a").server().upSince());
    }

    @Test
    void answerToAQuestionOfAnEarlierListStillTellsWhatIsNotKnown() throws Exception {
        // Guards against a new edge server that is never listed, as the list changes more often than answers arrive.
        applyList(6, "n");
        List<Question> early = ask();
        applyList(7, "n");
        List<Server> listed = new ArrayList<>();
        for (Question question : early) {
            listed.addAll(
                    question.type() == Dns.A
                            ? replyAddress(question)
                            : replyText(question, "kind=std", "cell=7", "started=0"));
        }
        assertEquals("[n UP]", describe(listed));
    }
}
