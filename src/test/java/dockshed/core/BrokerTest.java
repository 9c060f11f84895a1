package dockshed.core;

import static dockshed.core.Stage.MS;
import static dockshed.core.Stage.S;
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
    private final Stage s = new Stage();

    @Test
    void aRequestIsSetUpAnsweredAndReleasedOnce() {
        s.ask("v1", "safe");
        s.broker.answered(s.now, "a", "v1", "answer");
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
        assertEquals(0, s.broker.standing() + s.broker.unanswered());
    }

    @Test
    void aRequestThatTheModuleForgetsFailsBeforeItsTimeIsUp() {
        s.onRequest = r -> {};
        s.ask("v1", "safe");
        s.pass(3 * S - 11 * MS);
        assertEquals(0, s.count("front"));
        s.pass(MS);
        assertEquals(List.of("front failed v1 late", "module gone"), s.log);
    }

    @Test
    void anAttemptThatTakesTooLongIsGivenUpOnTheWireToo() {
        s.onRequest = r -> s.actions.send(r.id(), "a", 400 * MS);
        s.onOutcome = id -> s.actions.send(id, "b", 0);
        s.ask("v1", "safe");
        s.pass(400 * MS);
        assertEquals(
                List.of(
                        "box a setUp v1 left=400",
                        "box a giveUp v1",
                        "module outcome 0 a TIMEOUT",
                        "box b setUp v1 left=2590"),
                s.log);
        // The server that was given up answers after all: that is no session, and no second answer.
        s.broker.answered(s.now, "a", "v1", "late");
        assertEquals(0, s.count("front"));
        s.broker.answered(s.now, "b", "v1", "answer");
        assertEquals(1, s.count("front served"));
    }

    @Test
    void twoAttemptsAreNeverOutAtOnce() {
        s.onRequest = r -> {
            s.actions.send(r.id(), "a", 0);
            s.actions.send(r.id(), "b", 0);
        };
        s.ask("v1", "safe");
        assertEquals(1, s.count("box a setUp") + s.count("box b setUp"));
    }

    @Test
    void aPaidSetUpIsRepeatedOnlyAfterProofThatItNeverRan() {
        for (Outcome o : Outcome.values()) {
            if (o == Outcome.OK) {
                continue;
            }
            Stage t = new Stage();
            boolean proof = o == Outcome.FULL || o == Outcome.CONNECT_FAILED || o == Outcome.MOOT;
            t.onOutcome = id -> {
                if (t.count("module outcome") == 1) {
                    t.actions.send(id, "b", 0);
                } else {
                    t.actions.refuse(id, S); // refusing is a promise as well: trying again is harmless
                }
            };
            t.ask("v1", "paid");
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
        s.onOutcome = id -> s.actions.refuse(id, 700 * MS);
        s.ask("v1", "paid");
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
        s.ask("v1", "safe");
        assertEquals(List.of("front refused v1 0"), s.log);
    }

    @Test
    void nothingNewGoesToABoxLongAfterItWasToldToDrain() {
        s.list(ListScope.CHANGES, State.DRAINING, "a");
        s.log.clear();
        s.ask("v1", "safe");
        assertEquals(1, s.count("box a setUp"), "what was decided before the news may still go");
        s.pass(S);
        s.log.clear();
        s.onOutcome = id -> s.actions.send(id, "b", 0);
        s.ask("v2", "safe");
        assertEquals(List.of("module outcome 0 a MOOT", "box b setUp v2 left=2990"), s.log);
        assertFalse(s.broker.takes(s.now, "a"));
        s.list(ListScope.CHANGES, State.UP, "a");
        assertTrue(s.broker.takes(s.now, "a"));
    }

    @Test
    void theSameNewsAgainDoesNotLengthenTheGrace() {
        s.list(ListScope.CHANGES, State.DRAINING, "a");
        s.pass(600 * MS);
        s.list(ListScope.CHANGES, State.GONE, "a");
        s.pass(200 * MS);
        assertFalse(s.broker.takes(s.now, "a"));
    }

    @Test
    void aClassNeverPlaysUnderItsFloor() {
        s.onRequest = r -> {
            s.actions.setRendition(r.id(), 0);
            s.actions.send(r.id(), "a", 0);
        };
        s.ask("v1", "paid");
        s.broker.answered(s.now, "a", "v1", "answer");
        assertEquals(1, s.count("front served v1 1..1"));
    }

    @Test
    void aSetUpWithoutARungIsAtTheLowestOfItsClass() {
        s.ask("v1", "paid");
        s.broker.answered(s.now, "a", "v1", "answer");
        assertEquals(1, s.count("front served v1 1..1"));
    }

    @Test
    void aRungSetWhileTheAnswerIsOnItsWayFollowsIt() {
        String[] id = {""};
        s.onRequest = r -> {
            id[0] = r.id();
            s.actions.send(r.id(), "a", 0);
        };
        s.ask("v1", "safe");
        s.actions.setRendition(id[0], 3);
        assertEquals(0, s.count("box a rate"));
        s.broker.answered(s.now, "a", "v1", "answer");
        assertEquals(1, s.count("box a rate v1 3"));
    }

    @Test
    void aViewerThatLeavesWhileSettingUpIsOwedNothing() {
        s.ask("v1", "safe");
        s.broker.leave(s.now, "v1");
        s.ended("a", "v1", Outcome.OK);
        s.pass(5 * S);
        assertEquals(List.of("box a setUp v1 left=2990", "box a giveUp v1", "module gone"), s.log);
    }

    @Test
    void aViewerThatLeavesOnceItsTimeIsUpHasHadItsAnswer() {
        // A loop that is late reads of the leaving before it comes to what was due: the answer never went out.
        s.ask("v1", "paid");
        s.now += 3 * S - 5 * MS;
        s.broker.leave(s.now, "v1");
        s.pass(S);
        assertEquals(
                List.of(
                        "box a setUp v1 left=2990",
                        "box a giveUp v1",
                        "module outcome 0 a TIMEOUT",
                        "front failed v1 late"),
                s.log);
        assertEquals(0, s.broker.unanswered());
    }

    @Test
    void aViewerThatSaysNoMoreIsAnsweredAtOnceAndNotTriedAgain() {
        s.ask("v1", "paid");
        s.ask("v2", "safe");
        s.onRequest = r -> {};
        s.ask("v3", "paid");
        s.broker.silenced(s.now, s.connection);
        s.ended("a", "v1", Outcome.FULL);
        s.ended("a", "v2", Outcome.RESET);
        s.broker.answered(s.now, "a", "v1", "crossed");
        s.pass(5 * S);
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
        assertEquals(0, s.broker.unanswered() + s.broker.standing());
    }

    @Test
    void aLostConnectionGivesUpItsRequestsButNotItsSessions() {
        s.play("v1", "safe");
        s.ask("v2", "safe");
        s.broker.disconnected(s.now, s.connection);
        assertEquals(1, s.count("box a giveUp v2"));
        assertEquals(1, s.broker.standing());
    }

    @Test
    void anEndIsToldOnTheNextConnectionWhereNoneIsLeft() {
        s.play("v1", "safe");
        s.broker.disconnected(s.now, s.connection);
        s.ended("a", "v1", Outcome.RESET);
        assertEquals(0, s.count("front over"));
        s.pass(300 * MS);
        s.connection = s.broker.connected(s.now, s, h -> {});
        assertEquals(0, s.count("front over v1 RESET"), "nobody may be reading there");
        s.ask("v2", "safe");
        assertEquals(1, s.count("front over v1 RESET"));
    }

    @Test
    void anEndGoesWhereViewersAskAndNotToAConnectionHeldForItsOwnSake() {
        // Hundreds of connections ask for one test and stay, unread. Sessions handed over at the start had no
        // connection of their own, and their ends went to the connection that had come last.
        long asks = s.connection;
        s.broker.open(s.now, asks, s, s, Stage.wish("v1", "safe"), "a");
        s.broker.connected(s.now, s, h -> {});
        s.ended("a", "v1", Outcome.RESET);
        assertEquals(List.of(asks), s.overOn);
        long other = s.broker.connected(s.now, s, h -> {});
        s.connection = other;
        s.play("v2", "safe");
        s.broker.open(s.now, asks, s, s, Stage.wish("v3", "safe"), "a");
        s.pass(S);
        s.broker.disconnected(s.now, asks);
        s.broker.connected(s.now, s, h -> {});
        long refused = s.broker.connected(s.now, s, h -> {});
        s.connection = refused;
        s.ask("v4", "safe"); // a set-up that nobody has answered yet proves less than a session
        s.ended("a", "v3", Outcome.RESET);
        assertEquals(List.of(asks, other), s.overOn);
    }

    @Test
    void anEndWrittenToAClosingConnectionIsToldAgainUnlessHeard() {
        // A viewer closes a connection that carries no session after four seconds; an end may cross with that.
        s.play("v1", "safe");
        s.play("v2", "safe");
        long first = s.connection;
        s.connection = s.broker.connected(s.now, s, h -> {});
        s.ask("v3", "safe");
        s.connection = first;
        s.ended("a", "v1", Outcome.OK);
        s.ended("a", "v2", Outcome.OK);
        s.broker.heard(s.connection, "v2");
        s.broker.disconnected(s.now, s.connection);
        assertEquals(2, s.count("front over v1"));
        assertEquals(1, s.count("front over v2"));
    }

    @Test
    void anOpenSessionIsHeldOnceAndHeardOf() {
        s.broker.open(s.now, s.connection, s, s, Stage.wish("v1", "safe"), "b");
        s.broker.open(s.now, s.connection, s, s, Stage.wish("v1", "safe"), "b");
        s.broker.note(s.now, "b", "v1", Metric.RENDITION, 2);
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
        s.play("v1", "safe");
        s.actions.setRendition(id[0], 3);
        s.broker.note(s.now, "a", "v1", Metric.RENDITION, 1);
        s.actions.setRendition(id[0], 1);
        assertEquals(
                List.of("box a rate v1 3", "module note RENDITION 1.0", "box a rate v1 1"),
                s.log.subList(s.log.size() - 3, s.log.size()));
    }

    @Test
    void aNoteThatComesBeforeTheAnswerReachesTheModuleAfterIt() {
        // Edge servers write the link's reading at a set-up ahead of the answer. It was dropped, so newcomers never
        // took their rung by it, and a later reading was taken for it.
        s.ask("v1", "safe");
        s.broker.note(s.now, "a", "v1", Metric.LINK, 0.5);
        s.broker.note(s.now, "b", "v1", Metric.LINK, 0.9);
        assertEquals(0, s.count("module note"));
        s.broker.answered(s.now, "a", "v1", "answer");
        assertEquals(
                List.of("module first 0 a", "module note LINK 0.5"), s.log.subList(s.log.size() - 2, s.log.size()));
    }

    @Test
    void aNoteOfAnAttemptThatCameToNothingIsForgotten() {
        s.onOutcome = id -> s.actions.send(id, "b", 0);
        s.ask("v1", "safe");
        s.broker.note(s.now, "a", "v1", Metric.LINK, 0.5);
        s.ended("a", "v1", Outcome.FULL);
        s.broker.answered(s.now, "b", "v1", "answer");
        assertEquals(0, s.count("module note"));
    }

    @Test
    void aLostServerEndsItsSessionsButNotThoseOfItsNextLife() {
        s.play("v1", "safe");
        s.pass(S);
        long reborn = s.now;
        s.pass(S);
        s.play("v2", "safe");
        s.broker.lost(s.now, s, "a", reborn);
        assertEquals(1, s.count("front over v1 RESET"));
        assertEquals(0, s.count("front over v2"));
    }

    @Test
    void aSessionEndedByItsViewerIsCutAtItsServerAndNotToldBack() {
        s.play("v1", "safe");
        s.log.clear();
        s.broker.leave(s.now, "v1");
        assertEquals(List.of("box a release v1", "box a hold false", "module outcome 0 a CANCELLED last"), s.log);
    }

    @Test
    void aMovedSessionEndsAtBothEnds() {
        String[] id = {""};
        s.onRequest = r -> {
            id[0] = r.id();
            s.actions.send(r.id(), "a", 0);
        };
        s.play("v1", "safe");
        s.log.clear();
        s.actions.move(id[0]);
        s.broker.told(s.now, 1, new byte[2]);
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
        s.broker.members(
                s.now, "eureka", ListScope.SNAPSHOT, List.of(new Server("a", "east", "k", 0, State.DRAINING, 1, 0)));
        assertEquals(List.of("module CHANGES a DRAINING"), s.log);
        s.log.clear();
        s.broker.members(s.now, "eureka", ListScope.SNAPSHOT, List.of());
        assertEquals(List.of("module CHANGES a UP"), s.log);
    }

    @Test
    void anErrorInOneEventLeavesTheOthersAlone() {
        s.onRequest = r -> {
            throw new IllegalStateException("as a test");
        };
        s.ask("v1", "safe");
        s.onRequest = r -> s.actions.send(r.id(), "a", 0);
        s.ask("v2", "safe");
        assertEquals(1, s.count("box a setUp v2"));
        s.pass(3 * S);
        assertEquals(1, s.count("front failed v1 late"), "even that request has its answer");
    }

    @Test
    void anUnknownClassOrANameHeldAlreadyIsNotTaken() {
        s.ask("v1", "safe");
        assertFalse(s.broker.request(s.now, s.connection, s, s, Stage.wish("v1", "safe")));
        assertFalse(s.broker.request(s.now, s.connection, s, s, Stage.wish("v2", "none")));
        assertEquals(1, s.broker.unanswered());
    }

    @Test
    void aPlannedEndTellsEveryViewerAndServer() {
        s.play("v1", "safe");
        s.broker.releaseAll(s.now);
        assertEquals(1, s.count("front over v1 RESET"));
        assertEquals(1, s.count("box a release v1"));
        assertEquals(0, s.broker.standing());
    }

    @Test
    void whatComesOnceTheEndsAreToldIsTurnedAwayAtOnce() {
        // A set-up of the last 50 ms was taken, sent on, and lost when the program halted.
        s.ask("v1", "safe");
        s.broker.releaseAll(s.now);
        s.ask("v2", "paid");
        assertEquals(1, s.count("front refused v2"));
        assertEquals(0, s.count("box a setUp v2"));
        // The one under way goes on, and is told its end once it stands.
        s.broker.answered(s.now, "a", "v1", "answer");
        assertEquals(1, s.count("front served v1"));
        s.broker.releaseAll(s.now);
        assertEquals(1, s.count("front over v1 RESET"));
        assertEquals(1, s.count("box a release v1"));
    }

    @Test
    void whoStillWaitsAtTheVeryEndIsToldAFailure() {
        s.ask("v1", "paid");
        s.broker.releaseAll(s.now);
        s.broker.failAll(s.now);
        assertEquals(1, s.count("front failed v1"));
        assertEquals(1, s.count("box a giveUp v1"));
        assertEquals(0, s.broker.unanswered());
        s.broker.answered(s.now, "a", "v1", "answer"); // too late: one answer is enough
        assertEquals(0, s.count("front served v1"));
    }

    @Test
    void aServerThatIsGoneIsForgottenInTheEnd() {
        // On a day of many replacements every id that ever was stayed in the broker's table.
        s.list(ListScope.CHANGES, State.GONE, "b");
        s.pass(100 * S);
        s.list(ListScope.CHANGES, State.UP, "c");
        assertFalse(s.broker.open(s.now, s.connection, s, s, Stage.wish("v1", "safe"), "b"));
        assertTrue(s.broker.open(s.now, s.connection, s, s, Stage.wish("v1", "safe"), "c"));
    }
}
