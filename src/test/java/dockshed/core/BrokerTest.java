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

/** The guarantees that the broker enforces whatever decision module, fronts and servers do; on a virtual clock. */
class BrokerTest {
    private final BrokerHarness harness = new BrokerHarness();

    @Test
    void aRequestIsSetUpAnsweredAndReleasedOnce() {
        harness.sendRequest("v1", "safe");
        harness.broker.setUpAnswered(harness.now, "a", "v1", "answer");
        harness.ended("a", "v1", Outcome.OK);
        harness.ended("a", "v1", Outcome.OK); // a repetition, as after a reconnect, must have no effect
        assertEquals(
                List.of(
                        "server a setUp v1 left=2990",
                        "server a setHasActiveSessions true",
                        "front served v1 0..0",
                        "module sessionStarted 0 a",
                        "front sessionEnded v1 OK",
                        "server a setHasActiveSessions false",
                        "module outcome 0 a OK last"),
                harness.log);
        assertEquals(0, harness.broker.activeSessions() + harness.broker.unansweredRequests());
    }

    @Test
    void aRequestThatTheModuleNeverAnswersFailsBeforeItsClientDeadline() {
        harness.onRequest = request -> {};
        harness.sendRequest("v1", "safe");
        harness.advance(3 * SECOND_US - 11 * MILLISECOND_US);
        assertEquals(0, harness.count("front"));
        harness.advance(MILLISECOND_US);
        assertEquals(List.of("front failed v1 late", "module requestCancelled"), harness.log);
    }

    @Test
    void anAttemptThatTimesOutIsCancelledAtTheServerToo() {
        harness.onRequest = request -> harness.actions.send(request.id(), "a", 400 * MILLISECOND_US);
        harness.onOutcome = id -> harness.actions.send(id, "b", 0);
        harness.sendRequest("v1", "safe");
        harness.advance(400 * MILLISECOND_US);
        assertEquals(
                List.of(
                        "server a setUp v1 left=400",
                        "server a cancelSetUp v1",
                        "module outcome 0 a TIMEOUT",
                        "server b setUp v1 left=2590"),
                harness.log);
        // A late answer to the cancelled attempt makes no session and no second answer.
        harness.broker.setUpAnswered(harness.now, "a", "v1", "late");
        assertEquals(0, harness.count("front"));
        harness.broker.setUpAnswered(harness.now, "b", "v1", "answer");
        assertEquals(1, harness.count("front served"));
    }

    @Test
    void twoAttemptsAreNeverPendingAtOnce() {
        harness.onRequest = request -> {
            harness.actions.send(request.id(), "a", 0);
            harness.actions.send(request.id(), "b", 0);
        };
        harness.sendRequest("v1", "safe");
        assertEquals(1, harness.count("server a setUp") + harness.count("server b setUp"));
    }

    @Test
    void anAtMostOnceSetUpIsRetriedOnlyAfterProofThatItNeverRan() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK) {
                continue;
            }
            BrokerHarness attemptHarness = new BrokerHarness();
            boolean provenNotRun =
                    outcome == Outcome.FULL || outcome == Outcome.CONNECT_FAILED || outcome == Outcome.MOOT;
            attemptHarness.onOutcome = id -> {
                if (attemptHarness.count("module outcome") == 1) {
                    attemptHarness.actions.send(id, "b", 0);
                } else {
                    attemptHarness.actions.refuse(id, SECOND_US); // a refusal, too, promises that a retry is harmless
                }
            };
            attemptHarness.sendRequest("v1", "paid");
            attemptHarness.ended("a", "v1", outcome);
            assertEquals(provenNotRun ? 1 : 0, attemptHarness.count("server b setUp"), outcome.name());
            if (provenNotRun) {
                attemptHarness.ended("b", "v1", Outcome.RESET);
            }
            assertEquals(0, attemptHarness.count("front refused"), outcome.name());
            assertEquals(1, attemptHarness.count("front failed"), outcome.name());
        }
    }

    @Test
    void anAtMostOnceRequestThatNeverRanMayBeRefused() {
        harness.onOutcome = id -> harness.actions.refuse(id, 700 * MILLISECOND_US);
        harness.sendRequest("v1", "paid");
        harness.ended("a", "v1", Outcome.FULL);
        assertEquals(1, harness.count("front refused v1 700"));
    }

    @Test
    void aSecondFinalAnswerIsSuppressed() {
        harness.onRequest = request -> {
            harness.actions.refuse(request.id(), 0);
            harness.actions.fail(request.id());
            harness.actions.refuse(request.id(), 0);
            harness.actions.send(request.id(), "a", 0);
        };
        harness.sendRequest("v1", "safe");
        assertEquals(List.of("front refused v1 0"), harness.log);
    }

    @Test
    void noSetUpIsSentToAServerOnceItsDrainGraceIsOver() {
        harness.updateServers(ListScope.CHANGES, State.DRAINING, "a");
        harness.log.clear();
        harness.sendRequest("v1", "safe");
        assertEquals(1, harness.count("server a setUp"), "a set-up decided before the list arrived may still be sent");
        harness.advance(SECOND_US);
        harness.log.clear();
        harness.onOutcome = id -> harness.actions.send(id, "b", 0);
        harness.sendRequest("v2", "safe");
        assertEquals(List.of("module outcome 0 a MOOT", "server b setUp v2 left=2990"), harness.log);
        assertFalse(harness.broker.acceptsSetUp(harness.now, "a"));
        harness.updateServers(ListScope.CHANGES, State.UP, "a");
        assertTrue(harness.broker.acceptsSetUp(harness.now, "a"));
    }

    @Test
    void aLaterListingAsGoneDoesNotProlongTheDrainGrace() {
        harness.updateServers(ListScope.CHANGES, State.DRAINING, "a");
        harness.advance(600 * MILLISECOND_US);
        harness.updateServers(ListScope.CHANGES, State.GONE, "a");
        harness.advance(200 * MILLISECOND_US);
        assertFalse(harness.broker.acceptsSetUp(harness.now, "a"));
    }

    @Test
    void aSessionNeverPlaysBelowTheLowestRenditionOfItsClass() {
        harness.onRequest = request -> {
            harness.actions.setRendition(request.id(), 0);
            harness.actions.send(request.id(), "a", 0);
        };
        harness.sendRequest("v1", "paid");
        harness.broker.setUpAnswered(harness.now, "a", "v1", "answer");
        assertEquals(1, harness.count("front served v1 1..1"));
    }

    @Test
    void aSetUpWithoutARenditionUsesTheLowestOfItsClass() {
        harness.sendRequest("v1", "paid");
        harness.broker.setUpAnswered(harness.now, "a", "v1", "answer");
        assertEquals(1, harness.count("front served v1 1..1"));
    }

    @Test
    void aRenditionSetWhileTheSetUpIsPendingIsAppliedAfterTheAnswer() {
        String[] id = {""};
        harness.onRequest = request -> {
            id[0] = request.id();
            harness.actions.send(request.id(), "a", 0);
        };
        harness.sendRequest("v1", "safe");
        harness.actions.setRendition(id[0], 3);
        assertEquals(0, harness.count("server a setRendition"));
        harness.broker.setUpAnswered(harness.now, "a", "v1", "answer");
        assertEquals(1, harness.count("server a setRendition v1 3"));
    }

    @Test
    void aRequestCancelledDuringItsSetUpGetsNoAnswer() {
        harness.sendRequest("v1", "safe");
        harness.broker.cancel(harness.now, "v1");
        harness.ended("a", "v1", Outcome.OK);
        harness.advance(5 * SECOND_US);
        assertEquals(
                List.of("server a setUp v1 left=2990", "server a cancelSetUp v1", "module requestCancelled"),
                harness.log);
    }

    @Test
    void aRequestCancelledAfterItsAnswerWasDueFails() {
        // A late event loop reads the cancellation before it runs the timer of the deadline; the answer was never sent.
        harness.sendRequest("v1", "paid");
        harness.now += 3 * SECOND_US - 5 * MILLISECOND_US;
        harness.broker.cancel(harness.now, "v1");
        harness.advance(SECOND_US);
        assertEquals(
                List.of(
                        "server a setUp v1 left=2990",
                        "server a cancelSetUp v1",
                        "module outcome 0 a TIMEOUT",
                        "front failed v1 late"),
                harness.log);
        assertEquals(0, harness.broker.unansweredRequests());
    }

    @Test
    void requestsOnAHalfClosedConnectionAreAnsweredAtOnceWithoutRetry() {
        harness.sendRequest("v1", "paid");
        harness.sendRequest("v2", "safe");
        harness.onRequest = request -> {};
        harness.sendRequest("v3", "paid");
        harness.broker.halfClosed(harness.now, harness.connection);
        harness.ended("a", "v1", Outcome.FULL);
        harness.ended("a", "v2", Outcome.RESET);
        harness.broker.setUpAnswered(harness.now, "a", "v1", "crossed");
        harness.advance(5 * SECOND_US);
        assertEquals(
                List.of("front failed v1", "front refused v2 2000", "front refused v3 2000"),
                harness.log.stream()
                        .filter(line -> line.startsWith("front"))
                        .sorted()
                        .toList());
        assertEquals(
                List.of("server a cancelSetUp v1", "server a cancelSetUp v2"),
                harness.log.stream()
                        .filter(line -> line.startsWith("server") && !line.contains("setUp"))
                        .toList());
        assertEquals(2, harness.count("server a setUp"));
        assertEquals(3, harness.count("module requestCancelled"));
        assertEquals(0, harness.broker.unansweredRequests() + harness.broker.activeSessions());
    }

    @Test
    void aClosedConnectionCancelsItsRequestsButNotItsSessions() {
        harness.startSession("v1", "safe");
        harness.sendRequest("v2", "safe");
        harness.broker.disconnected(harness.now, harness.connection);
        assertEquals(1, harness.count("server a cancelSetUp v2"));
        assertEquals(1, harness.broker.activeSessions());
    }

    @Test
    void anEndNoticeIsSentOnTheNextConnectionWhenNoneIsOpen() {
        harness.startSession("v1", "safe");
        harness.broker.disconnected(harness.now, harness.connection);
        harness.ended("a", "v1", Outcome.RESET);
        assertEquals(0, harness.count("front sessionEnded"));
        harness.advance(300 * MILLISECOND_US);
        harness.connection = harness.broker.connected(harness.now, harness, handle -> {});
        assertEquals(0, harness.count("front sessionEnded v1 RESET"), "nobody may be reading from the new connection");
        harness.sendRequest("v2", "safe");
        assertEquals(1, harness.count("front sessionEnded v1 RESET"));
    }

    @Test
    void anEndNoticeUsesAConnectionWithSetUpsNotOneThatIsMerelyOpen() {
        // Hundreds of connections may be opened for one test and kept open, unread. The end notices of sessions adopted
        // at the start, which have no connection of their own, were sent to the connection opened last.
        long withSetUp = harness.connection;
        harness.broker.adoptSession(
                harness.now, withSetUp, harness, harness, BrokerHarness.sessionRequest("v1", "safe"), "a");
        harness.broker.connected(harness.now, harness, handle -> {});
        harness.ended("a", "v1", Outcome.RESET);
        assertEquals(List.of(withSetUp), harness.endNoticeConnections);
        long other = harness.broker.connected(harness.now, harness, handle -> {});
        harness.connection = other;
        harness.startSession("v2", "safe");
        harness.broker.adoptSession(
                harness.now, withSetUp, harness, harness, BrokerHarness.sessionRequest("v3", "safe"), "a");
        harness.advance(SECOND_US);
        harness.broker.disconnected(harness.now, withSetUp);
        harness.broker.connected(harness.now, harness, handle -> {});
        long unanswered = harness.broker.connected(harness.now, harness, handle -> {});
        harness.connection = unanswered;
        harness.sendRequest("v4", "safe"); // an unanswered set-up is weaker evidence of a reader than a session
        harness.ended("a", "v3", Outcome.RESET);
        assertEquals(List.of(withSetUp, other), harness.endNoticeConnections);
    }

    @Test
    void anEndNoticeOnAClosingConnectionIsSentAgainUnlessConfirmed() {
        // A viewer closes a connection without sessions after 4 s; an end notice sent at that moment may be lost.
        harness.startSession("v1", "safe");
        harness.startSession("v2", "safe");
        long first = harness.connection;
        harness.connection = harness.broker.connected(harness.now, harness, handle -> {});
        harness.sendRequest("v3", "safe");
        harness.connection = first;
        harness.ended("a", "v1", Outcome.OK);
        harness.ended("a", "v2", Outcome.OK);
        harness.broker.endConfirmed(harness.connection, "v2");
        harness.broker.disconnected(harness.now, harness.connection);
        assertEquals(2, harness.count("front sessionEnded v1"));
        assertEquals(1, harness.count("front sessionEnded v2"));
    }

    @Test
    void anAdoptedSessionIsRegisteredOnceAndReceivesMetricsAndItsEnd() {
        harness.broker.adoptSession(
                harness.now, harness.connection, harness, harness, BrokerHarness.sessionRequest("v1", "safe"), "b");
        harness.broker.adoptSession(
                harness.now, harness.connection, harness, harness, BrokerHarness.sessionRequest("v1", "safe"), "b");
        harness.broker.metricReceived(harness.now, "b", "v1", Metric.RENDITION, 2);
        harness.ended("b", "v1", Outcome.OK);
        assertEquals(
                List.of(
                        "server b setHasActiveSessions true",
                        "module adoptSession b",
                        "module metricReceived RENDITION 2.0",
                        "front sessionEnded v1 OK",
                        "server b setHasActiveSessions false",
                        "module outcome 0 b OK last"),
                harness.log);
    }

    @Test
    void aRenditionSetAgainIsSentEvenIfAnOlderMetricReportedIt() {
        // A metric of the rendition in force at the start may cross with a change and must not be taken to confirm it.
        String[] id = {""};
        harness.onRequest = request -> {
            id[0] = request.id();
            harness.actions.send(request.id(), "a", 0);
        };
        harness.startSession("v1", "safe");
        harness.actions.setRendition(id[0], 3);
        harness.broker.metricReceived(harness.now, "a", "v1", Metric.RENDITION, 1);
        harness.actions.setRendition(id[0], 1);
        assertEquals(
                List.of(
                        "server a setRendition v1 3",
                        "module metricReceived RENDITION 1.0",
                        "server a setRendition v1 1"),
                harness.log.subList(harness.log.size() - 3, harness.log.size()));
    }

    @Test
    void aMetricReceivedBeforeTheAnswerReachesTheModuleAfterIt() {
        // Edge servers report the link's load before they answer a set-up. The report was dropped, so new sessions did
        // not choose their rendition by it, and a later report was taken for it.
        harness.sendRequest("v1", "safe");
        harness.broker.metricReceived(harness.now, "a", "v1", Metric.LINK, 0.5);
        harness.broker.metricReceived(harness.now, "b", "v1", Metric.LINK, 0.9);
        assertEquals(0, harness.count("module metricReceived"));
        harness.broker.setUpAnswered(harness.now, "a", "v1", "answer");
        assertEquals(
                List.of("module sessionStarted 0 a", "module metricReceived LINK 0.5"),
                harness.log.subList(harness.log.size() - 2, harness.log.size()));
    }

    @Test
    void aMetricOfAFailedAttemptIsDiscarded() {
        harness.onOutcome = id -> harness.actions.send(id, "b", 0);
        harness.sendRequest("v1", "safe");
        harness.broker.metricReceived(harness.now, "a", "v1", Metric.LINK, 0.5);
        harness.ended("a", "v1", Outcome.FULL);
        harness.broker.setUpAnswered(harness.now, "b", "v1", "answer");
        assertEquals(0, harness.count("module metricReceived"));
    }

    @Test
    void aLostServerEndsItsSessionsButNotThoseStartedAfterItsRestart() {
        harness.startSession("v1", "safe");
        harness.advance(SECOND_US);
        long restartedAt = harness.now;
        harness.advance(SECOND_US);
        harness.startSession("v2", "safe");
        harness.broker.serverLost(harness.now, harness, "a", restartedAt);
        assertEquals(1, harness.count("front sessionEnded v1 RESET"));
        assertEquals(0, harness.count("front sessionEnded v2"));
    }

    @Test
    void aSessionEndedByItsViewerIsReleasedWithoutAnEndNotice() {
        harness.startSession("v1", "safe");
        harness.log.clear();
        harness.broker.cancel(harness.now, "v1");
        assertEquals(
                List.of(
                        "server a release v1",
                        "server a setHasActiveSessions false",
                        "module outcome 0 a CANCELLED last"),
                harness.log);
    }

    @Test
    void aMovedSessionEndsAtViewerAndServer() {
        String[] id = {""};
        harness.onRequest = request -> {
            id[0] = request.id();
            harness.actions.send(request.id(), "a", 0);
        };
        harness.startSession("v1", "safe");
        harness.log.clear();
        harness.actions.move(id[0]);
        harness.broker.peerMessageReceived(harness.now, 1, new byte[2]);
        assertEquals(
                List.of(
                        "front moved v1",
                        "server a release v1",
                        "server a setHasActiveSessions false",
                        "module outcome 0 a CANCELLED last",
                        "module peerMessageReceived 1"),
                harness.log);
    }

    @Test
    void aServerOnTwoListsHasTheWorseState() {
        harness.broker.serversChanged(
                harness.now,
                "eureka",
                ListScope.SNAPSHOT,
                List.of(new Server("a", "east", "k", 0, State.DRAINING, 1, 0)));
        assertEquals(List.of("module serversChanged CHANGES a DRAINING"), harness.log);
        harness.log.clear();
        harness.broker.serversChanged(harness.now, "eureka", ListScope.SNAPSHOT, List.of());
        assertEquals(List.of("module serversChanged CHANGES a UP"), harness.log);
    }

    @Test
    void anErrorInOneEventDoesNotAffectOthers() {
        harness.onRequest = request -> {
            throw new IllegalStateException("as a test");
        };
        harness.sendRequest("v1", "safe");
        harness.onRequest = request -> harness.actions.send(request.id(), "a", 0);
        harness.sendRequest("v2", "safe");
        assertEquals(1, harness.count("server a setUp v2"));
        harness.advance(3 * SECOND_US);
        assertEquals(1, harness.count("front failed v1 late"), "the request whose event failed is answered, too");
    }

    @Test
    void aRequestWithAnUnknownClassOrADuplicateNameIsRejected() {
        harness.sendRequest("v1", "safe");
        assertFalse(harness.broker.request(
                harness.now, harness.connection, harness, harness, BrokerHarness.sessionRequest("v1", "safe")));
        assertFalse(harness.broker.request(
                harness.now, harness.connection, harness, harness, BrokerHarness.sessionRequest("v2", "none")));
        assertEquals(1, harness.broker.unansweredRequests());
    }

    @Test
    void aGracefulShutdownNotifiesEveryViewerAndServer() {
        harness.startSession("v1", "safe");
        harness.broker.releaseAll(harness.now);
        assertEquals(1, harness.count("front sessionEnded v1 RESET"));
        assertEquals(1, harness.count("server a release v1"));
        assertEquals(0, harness.broker.activeSessions());
    }

    @Test
    void requestsDuringAShutdownAreRefusedAtOnce() {
        // A set-up accepted in the last 50 ms before the exit was sent to a server and then lost.
        harness.sendRequest("v1", "safe");
        harness.broker.releaseAll(harness.now);
        harness.sendRequest("v2", "paid");
        assertEquals(1, harness.count("front refused v2"));
        assertEquals(0, harness.count("server a setUp v2"));
        // A pending set-up continues; its session is ended once it is active.
        harness.broker.setUpAnswered(harness.now, "a", "v1", "answer");
        assertEquals(1, harness.count("front served v1"));
        harness.broker.releaseAll(harness.now);
        assertEquals(1, harness.count("front sessionEnded v1 RESET"));
        assertEquals(1, harness.count("server a release v1"));
    }

    @Test
    void requestsUnansweredAtTheEndOfAShutdownFail() {
        harness.sendRequest("v1", "paid");
        harness.broker.releaseAll(harness.now);
        harness.broker.failAll(harness.now);
        assertEquals(1, harness.count("front failed v1"));
        assertEquals(1, harness.count("server a cancelSetUp v1"));
        assertEquals(0, harness.broker.unansweredRequests());
        harness.broker.setUpAnswered(harness.now, "a", "v1", "answer"); // too late: the request has had its answer
        assertEquals(0, harness.count("front served v1"));
    }

    @Test
    void aServerThatIsGoneIsEventuallyRemoved() {
        // When servers were replaced often, the ids of all former ones stayed in the broker's table.
        harness.updateServers(ListScope.CHANGES, State.GONE, "b");
        harness.advance(100 * SECOND_US);
        harness.updateServers(ListScope.CHANGES, State.UP, "c");
        assertFalse(harness.broker.adoptSession(
                harness.now, harness.connection, harness, harness, BrokerHarness.sessionRequest("v1", "safe"), "b"));
        assertTrue(harness.broker.adoptSession(
                harness.now, harness.connection, harness, harness, BrokerHarness.sessionRequest("v1", "safe"), "c"));
    }
}
