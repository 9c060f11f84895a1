package dockshed.core;

import static dockshed.core.BrokerHarness.MILLISECOND_US;
import static dockshed.core.BrokerHarness.SECOND_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director.ListScope;
import dockshed.Director.Metric;
import dockshed.Director.Outcome;
import dockshed.Director.Server;
import dockshed.Director.State;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The broker's own promises, kept whatever module, front or servers do; on a virtual clock. */
class BrokerTest {
    private final BrokerHarness s = new BrokerHarness();

    @Test
    void aRequestIsSetUpAnsweredAndReleasedOnce() {
        s.sendRequest("v1", "safe");
        s.broker.setUpAnswered(s.now, "a", "v1", "answer");
        s.ended("a", "v1", Outcome.OK);
        s.ended("a", "v1", Outcome.OK); // sent again on the next connection
        assertEquals(
                List.of(
                        "box a setUp v1 left=2990",
                        "box a hold true",
                        "front served v1 0..0",
                        "module first 0 a",
                        "front over v1 OK",
                        "box a hold false",
                        "module outcome 0 a OK last"),
                s.log);
        assertEquals(0, s.broker.activeSessions() + s.broker.unansweredRequests());
    }

    @Test
    void aRequestThatTheModuleForgetsFailsBeforeItsTimeIsUp() {
        s.onRequest = r -> {};
        s.sendRequest("v1", "safe");
        s.advance(3 * SECOND_US - 11 * MILLISECOND_US);
        assertEquals(0, s.count("front"));
        s.advance(MILLISECOND_US);
        assertEquals(List.of("front failed v1 late", "module gone"), s.log);
    }

    @Test
    void anAttemptThatTakesTooLongIsGivenUpOnTheWireToo() {
        s.onRequest = r -> s.actions.send(r.id(), "a", 400 * MILLISECOND_US);
        s.onOutcome = id -> s.actions.send(id, "b", 0);
        s.sendRequest("v1", "safe");
        s.advance(400 * MILLISECOND_US);
        assertEquals(
                List.of(
                        "box a setUp v1 left=400",
                        "box a giveUp v1",
                        "module outcome 0 a TIMEOUT",
                        "box b setUp v1 left=2590"),
                s.log);
        // The server that was given up answers after all: that is no session, and no second answer.
        s.broker.setUpAnswered(s.now, "a", "v1", "late");
        assertEquals(0, s.count("front"));
        s.broker.setUpAnswered(s.now, "b", "v1", "answer");
        assertEquals(1, s.count("front served"));
    }

    @Test
    void twoAttemptsAreNeverOutAtOnce() {
        s.onRequest = r -> {
            s.actions.send(r.id(), "a", 0);
            s.actions.send(r.id(), "b", 0);
        };
        s.sendRequest("v1", "safe");
        assertEquals(1, s.count("box a setUp") + s.count("box b setUp"));
    }

    @Test
    void aPaidSetUpIsRepeatedOnlyAfterProofThatItNeverRan() {
        for (Outcome o : Outcome.values()) {
            if (o == Outcome.OK) {
                continue;
            }
            BrokerHarness t = new BrokerHarness();
            boolean proof = o == Outcome.FULL || o == Outcome.CONNECT_FAILED || o == Outcome.MOOT;
            t.onOutcome = id -> {
                if (t.count("module outcome") == 1) {
                    t.actions.send(id, "b", 0);
                } else {
                    t.actions.refuse(id, SECOND_US); // refusing is a promise as well: trying again is harmless
                }
            };
            t.sendRequest("v1", "paid");
            t.ended("a", "v1", o);
            assertEquals(proof ? 1 : 0, t.count("box b setUp"), o.name());
            if (proof) {
                t.ended("b", "v1", Outcome.RESET);
            }
            assertEquals(0, t.count("front refused"), o.name());
            assertEquals(1, t.count("front failed"), o.name());
        }
    }

    @Test
    void aPaidRequestThatNeverRanMayBeRefused() {
        s.onOutcome = id -> s.actions.refuse(id, 700 * MILLISECOND_US);
        s.sendRequest("v1", "paid");
        s.ended("a", "v1", Outcome.FULL);
        assertEquals(1, s.count("front refused v1 700"));
    }

    @Test
    void theSecondFinalAnswerIsKeptBack() {
        s.onRequest = r -> {
            s.actions.refuse(r.id(), 0);
            s.actions.fail(r.id());
            s.actions.refuse(r.id(), 0);
            s.actions.send(r.id(), "a", 0);
        };
        s.sendRequest("v1", "safe");
        assertEquals(List.of("front refused v1 0"), s.log);
    }

    @Test
    void nothingNewGoesToABoxLongAfterItWasToldToDrain() {
        s.updateServers(ListScope.CHANGES, State.DRAINING, "a");
        s.log.clear();
        s.sendRequest("v1", "safe");
        assertEquals(1, s.count("box a setUp"), "what was decided before the news may still go");
        s.advance(SECOND_US);
        s.log.clear();
        s.onOutcome = id -> s.actions.send(id, "b", 0);
        s.sendRequest("v2", "safe");
        assertEquals(List.of("module outcome 0 a MOOT", "box b setUp v2 left=2990"), s.log);
        assertFalse(s.broker.acceptsSetUp(s.now, "a"));
        s.updateServers(ListScope.CHANGES, State.UP, "a");
        assertTrue(s.broker.acceptsSetUp(s.now, "a"));
    }

    @Test
    void theSameNewsAgainDoesNotLengthenTheGrace() {
        s.updateServers(ListScope.CHANGES, State.DRAINING, "a");
        s.advance(600 * MILLISECOND_US);
        s.updateServers(ListScope.CHANGES, State.GONE, "a");
        s.advance(200 * MILLISECOND_US);
        assertFalse(s.broker.acceptsSetUp(s.now, "a"));
    }

    @Test
    void aClassNeverPlaysUnderItsFloor() {
        s.onRequest = r -> {
            s.actions.setRendition(r.id(), 0);
            s.actions.send(r.id(), "a", 0);
        };
        s.sendRequest("v1", "paid");
        s.broker.setUpAnswered(s.now, "a", "v1", "answer");
        assertEquals(1, s.count("front served v1 1..1"));
    }

    @Test
    void aSetUpWithoutARungIsAtTheLowestOfItsClass() {
        s.sendRequest("v1", "paid");
        s.broker.setUpAnswered(s.now, "a", "v1", "answer");
        assertEquals(1, s.count("front served v1 1..1"));
    }

    @Test
    void aRungSetWhileTheAnswerIsOnItsWayFollowsIt() {
        String[] id = {""};
        s.onRequest = r -> {
            id[0] = r.id();
            s.actions.send(r.id(), "a", 0);
        };
        s.sendRequest("v1", "safe");
        s.actions.setRendition(id[0], 3);
        assertEquals(0, s.count("box a rate"));
        s.broker.setUpAnswered(s.now, "a", "v1", "answer");
        assertEquals(1, s.count("box a rate v1 3"));
    }

    @Test
    void aViewerThatLeavesWhileSettingUpIsOwedNothing() {
        s.sendRequest("v1", "safe");
        s.broker.cancel(s.now, "v1");
        s.ended("a", "v1", Outcome.OK);
        s.advance(5 * SECOND_US);
        assertEquals(List.of("box a setUp v1 left=2990", "box a giveUp v1", "module gone"), s.log);
    }

    @Test
    void aViewerThatLeavesOnceItsTimeIsUpHasHadItsAnswer() {
        // A loop that is late reads of the leaving before it comes to what was due: the answer never went out.
        s.sendRequest("v1", "paid");
        s.now += 3 * SECOND_US - 5 * MILLISECOND_US;
        s.broker.cancel(s.now, "v1");
        s.advance(SECOND_US);
        assertEquals(
                List.of(
                        "box a setUp v1 left=2990",
                        "box a giveUp v1",
                        "module outcome 0 a TIMEOUT",
                        "front failed v1 late"),
                s.log);
        assertEquals(0, s.broker.unansweredRequests());
    }

    @Test
    void aViewerThatSaysNoMoreIsAnsweredAtOnceAndNotTriedAgain() {
        s.sendRequest("v1", "paid");
        s.sendRequest("v2", "safe");
        s.onRequest = r -> {};
        s.sendRequest("v3", "paid");
        s.broker.halfClosed(s.now, s.connection);
        s.ended("a", "v1", Outcome.FULL);
        s.ended("a", "v2", Outcome.RESET);
        s.broker.setUpAnswered(s.now, "a", "v1", "crossed");
        s.advance(5 * SECOND_US);
        assertEquals(
                List.of("front failed v1", "front refused v2 2000", "front refused v3 2000"),
                s.log.stream().filter(l -> l.startsWith("front")).sorted().toList());
        assertEquals(
                List.of("box a giveUp v1", "box a giveUp v2"),
                s.log.stream()
                        .filter(l -> l.startsWith("box") && !l.contains("setUp"))
                        .toList());
        assertEquals(2, s.count("box a setUp"));
        assertEquals(3, s.count("module gone"));
        assertEquals(0, s.broker.unansweredRequests() + s.broker.activeSessions());
    }

    @Test
    void aLostConnectionGivesUpItsRequestsButNotItsSessions() {
        s.startSession("v1", "safe");
        s.sendRequest("v2", "safe");
        s.broker.disconnected(s.now, s.connection);
        assertEquals(1, s.count("box a giveUp v2"));
        assertEquals(1, s.broker.activeSessions());
    }

    @Test
    void anEndIsToldOnTheNextConnectionWhereNoneIsLeft() {
        s.startSession("v1", "safe");
        s.broker.disconnected(s.now, s.connection);
        s.ended("a", "v1", Outcome.RESET);
        assertEquals(0, s.count("front over"));
        s.advance(300 * MILLISECOND_US);
        s.connection = s.broker.connected(s.now, s, h -> {});
        assertEquals(0, s.count("front over v1 RESET"), "nobody may be reading there");
        s.sendRequest("v2", "safe");
        assertEquals(1, s.count("front over v1 RESET"));
    }

    @Test
    void anEndGoesWhereViewersAskAndNotToAConnectionHeldForItsOwnSake() {
        // Hundreds of connections ask for one test and stay, unread. Sessions handed over at the start had no
        // connection of their own, and their ends went to the connection that had come last.
        long asks = s.connection;
        s.broker.adoptSession(s.now, asks, s, s, BrokerHarness.sessionRequest("v1", "safe"), "a");
        s.broker.connected(s.now, s, h -> {});
        s.ended("a", "v1", Outcome.RESET);
        assertEquals(List.of(asks), s.endNoticeConnections);
        long other = s.broker.connected(s.now, s, h -> {});
        s.connection = other;
        s.startSession("v2", "safe");
        s.broker.adoptSession(s.now, asks, s, s, BrokerHarness.sessionRequest("v3", "safe"), "a");
        s.advance(SECOND_US);
        s.broker.disconnected(s.now, asks);
        s.broker.connected(s.now, s, h -> {});
        long refused = s.broker.connected(s.now, s, h -> {});
        s.connection = refused;
        s.sendRequest("v4", "safe"); // a set-up that nobody has answered yet proves less than a session
        s.ended("a", "v3", Outcome.RESET);
        assertEquals(List.of(asks, other), s.endNoticeConnections);
    }

    @Test
    void anEndWrittenToAClosingConnectionIsToldAgainUnlessHeard() {
        // A viewer closes a connection that carries no session after four seconds; an end may cross with that.
        s.startSession("v1", "safe");
        s.startSession("v2", "safe");
        long first = s.connection;
        s.connection = s.broker.connected(s.now, s, h -> {});
        s.sendRequest("v3", "safe");
        s.connection = first;
        s.ended("a", "v1", Outcome.OK);
        s.ended("a", "v2", Outcome.OK);
        s.broker.endConfirmed(s.connection, "v2");
        s.broker.disconnected(s.now, s.connection);
        assertEquals(2, s.count("front over v1"));
        assertEquals(1, s.count("front over v2"));
    }

    @Test
    void anOpenSessionIsHeldOnceAndHeardOf() {
        s.broker.adoptSession(s.now, s.connection, s, s, BrokerHarness.sessionRequest("v1", "safe"), "b");
        s.broker.adoptSession(s.now, s.connection, s, s, BrokerHarness.sessionRequest("v1", "safe"), "b");
        s.broker.metricReceived(s.now, "b", "v1", Metric.RENDITION, 2);
        s.ended("b", "v1", Outcome.OK);
        assertEquals(
                List.of(
                        "box b hold true",
                        "module open b",
                        "module note RENDITION 2.0",
                        "front over v1 OK",
                        "box b hold false",
                        "module outcome 0 b OK last"),
                s.log);
    }

    @Test
    void aRungSetAgainIsSentThoughAnOlderNoteNamedIt() {
        // The note of the rung in force after a start may cross with a change: the change must not be taken as done.
        String[] id = {""};
        s.onRequest = r -> {
            id[0] = r.id();
            s.actions.send(r.id(), "a", 0);
        };
        s.startSession("v1", "safe");
        s.actions.setRendition(id[0], 3);
        s.broker.metricReceived(s.now, "a", "v1", Metric.RENDITION, 1);
        s.actions.setRendition(id[0], 1);
        assertEquals(
                List.of("box a rate v1 3", "module note RENDITION 1.0", "box a rate v1 1"),
                s.log.subList(s.log.size() - 3, s.log.size()));
    }

    @Test
    void aNoteThatComesBeforeTheAnswerReachesTheModuleAfterIt() {
        // Edge servers write the link's reading at a set-up ahead of the answer. It was dropped, so newcomers never
        // took their rung by it, and a later reading was taken for it.
        s.sendRequest("v1", "safe");
        s.broker.metricReceived(s.now, "a", "v1", Metric.LINK, 0.5);
        s.broker.metricReceived(s.now, "b", "v1", Metric.LINK, 0.9);
        assertEquals(0, s.count("module note"));
        s.broker.setUpAnswered(s.now, "a", "v1", "answer");
        assertEquals(
                List.of("module first 0 a", "module note LINK 0.5"), s.log.subList(s.log.size() - 2, s.log.size()));
    }

    @Test
    void aNoteOfAnAttemptThatCameToNothingIsForgotten() {
        s.onOutcome = id -> s.actions.send(id, "b", 0);
        s.sendRequest("v1", "safe");
        s.broker.metricReceived(s.now, "a", "v1", Metric.LINK, 0.5);
        s.ended("a", "v1", Outcome.FULL);
        s.broker.setUpAnswered(s.now, "b", "v1", "answer");
        assertEquals(0, s.count("module note"));
    }

    @Test
    void aLostServerEndsItsSessionsButNotThoseOfItsNextLife() {
        s.startSession("v1", "safe");
        s.advance(SECOND_US);
        long reborn = s.now;
        s.advance(SECOND_US);
        s.startSession("v2", "safe");
        s.broker.serverLost(s.now, s, "a", reborn);
        assertEquals(1, s.count("front over v1 RESET"));
        assertEquals(0, s.count("front over v2"));
    }

    @Test
    void aSessionEndedByItsViewerIsCutAtItsServerAndNotToldBack() {
        s.startSession("v1", "safe");
        s.log.clear();
        s.broker.cancel(s.now, "v1");
        assertEquals(List.of("box a release v1", "box a hold false", "module outcome 0 a CANCELLED last"), s.log);
    }

    @Test
    void aMovedSessionEndsAtBothEnds() {
        String[] id = {""};
        s.onRequest = r -> {
            id[0] = r.id();
            s.actions.send(r.id(), "a", 0);
        };
        s.startSession("v1", "safe");
        s.log.clear();
        s.actions.move(id[0]);
        s.broker.peerMessageReceived(s.now, 1, new byte[2]);
        assertEquals(
                List.of(
                        "front moved v1",
                        "box a release v1",
                        "box a hold false",
                        "module outcome 0 a CANCELLED last",
                        "module told 1"),
                s.log);
    }

    @Test
    void aServerOnTwoListsCountsByTheWorse() {
        s.broker.serversChanged(
                s.now, "eureka", ListScope.SNAPSHOT, List.of(new Server("a", "east", "k", 0, State.DRAINING, 1, 0)));
        assertEquals(List.of("module CHANGES a DRAINING"), s.log);
        s.log.clear();
        s.broker.serversChanged(s.now, "eureka", ListScope.SNAPSHOT, List.of());
        assertEquals(List.of("module CHANGES a UP"), s.log);
    }

    @Test
    void anErrorInOneEventLeavesTheOthersAlone() {
        s.onRequest = r -> {
            throw new IllegalStateException("as a test");
        };
        s.sendRequest("v1", "safe");
        s.onRequest = r -> s.actions.send(r.id(), "a", 0);
        s.sendRequest("v2", "safe");
        assertEquals(1, s.count("box a setUp v2"));
        s.advance(3 * SECOND_US);
        assertEquals(1, s.count("front failed v1 late"), "even that request has its answer");
    }

    @Test
    void anUnknownClassOrANameHeldAlreadyIsNotTaken() {
        s.sendRequest("v1", "safe");
        assertFalse(s.broker.request(s.now, s.connection, s, s, BrokerHarness.sessionRequest("v1", "safe")));
        assertFalse(s.broker.request(s.now, s.connection, s, s, BrokerHarness.sessionRequest("v2", "none")));
        assertEquals(1, s.broker.unansweredRequests());
    }

    @Test
    void aPlannedEndTellsEveryViewerAndServer() {
        s.startSession("v1", "safe");
        s.broker.releaseAll(s.now);
        assertEquals(1, s.count("front over v1 RESET"));
        assertEquals(1, s.count("box a release v1"));
        assertEquals(0, s.broker.activeSessions());
    }

    @Test
    void whatComesOnceTheEndsAreToldIsTurnedAwayAtOnce() {
        // A set-up of the last 50 ms was taken, sent on, and lost when the program halted.
        s.sendRequest("v1", "safe");
        s.broker.releaseAll(s.now);
        s.sendRequest("v2", "paid");
        assertEquals(1, s.count("front refused v2"));
        assertEquals(0, s.count("box a setUp v2"));
        // The one under way goes on, and is told its end once it stands.
        s.broker.setUpAnswered(s.now, "a", "v1", "answer");
        assertEquals(1, s.count("front served v1"));
        s.broker.releaseAll(s.now);
        assertEquals(1, s.count("front over v1 RESET"));
        assertEquals(1, s.count("box a release v1"));
    }

    @Test
    void whoStillWaitsAtTheVeryEndIsToldAFailure() {
        s.sendRequest("v1", "paid");
        s.broker.releaseAll(s.now);
        s.broker.failAll(s.now);
        assertEquals(1, s.count("front failed v1"));
        assertEquals(1, s.count("box a giveUp v1"));
        assertEquals(0, s.broker.unansweredRequests());
        s.broker.setUpAnswered(s.now, "a", "v1", "answer"); // too late: one answer is enough
        assertEquals(0, s.count("front served v1"));
    }

    @Test
    void aServerThatIsGoneIsForgottenInTheEnd() {
        // On a day of many replacements every id that ever was stayed in the broker's table.
        s.updateServers(ListScope.CHANGES, State.GONE, "b");
        s.advance(100 * SECOND_US);
        s.updateServers(ListScope.CHANGES, State.UP, "c");
        assertFalse(s.broker.adoptSession(s.now, s.connection, s, s, BrokerHarness.sessionRequest("v1", "safe"), "b"));
        assertTrue(s.broker.adoptSession(s.now, s.connection, s, s, BrokerHarness.sessionRequest("v1", "safe"), "c"));
    }
}
