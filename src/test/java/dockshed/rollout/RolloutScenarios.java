package dockshed.rollout;

import static dockshed.rollout.RolloutSimulation.MILLISECOND_US;
import static dockshed.rollout.RolloutSimulation.SECOND_US;
import static dockshed.rollout.RolloutSimulation.document;

import dockshed.rollout.RolloutSimulation.Broker;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Schedules of proposals and faults. Each returns what broke of what is promised, or empty; so they judge the program and
 * its mutants alike.
 */
public final class RolloutScenarios {
    private static final List<Integer> VOTERS = List.of(0, 1, 2, 3, 4);
    private static final int BROKERS = 9;
    private static final int LIAR = 8;

    private RolloutScenarios() {}

    /** Whatever a spoilt program throws counts as found. */
    private interface Scenario {
        Optional<String> run();
    }

    private static Optional<String> failureOf(Scenario scenario) {
        try {
            return scenario.run();
        } catch (AssertionError | RuntimeException e) {
            return Optional.of(e.toString());
        }
    }

    /** All of them, for one seed. */
    public static Optional<String> all(long seed) {
        return failureOf(() -> twoProposers(seed))
                .or(() -> failureOf(() -> killedBeforeTheAnswer(seed)))
                .or(() -> failureOf(() -> votersRestart(seed, false)))
                .or(() -> failureOf(() -> votersRestart(seed, true)))
                .or(() -> failureOf(() -> emptyDiskWhileVotesAreCounted(seed)))
                .or(() -> failureOf(() -> liarServes(seed)))
                .or(() -> failureOf(() -> lateAnswers(seed)))
                .or(() -> failureOf(() -> randomFaults(seed)));
    }

    private static RolloutSimulation fleet(long seed) {
        return new RolloutSimulation(BROKERS, 2, VOTERS, seed).startAll();
    }

    /** Two voters propose different contents of one version at the same time; voters come and go. */
    static Optional<String> twoProposers(long seed) {
        RolloutSimulation w = fleet(seed);
        w.loss = 0.2;
        w.propose(0, document(1, "names 127.0.0.1:1", 100));
        w.propose(1, document(1, "names 127.0.0.1:2", 100));
        w.run(30 * SECOND_US);
        return w.violation().or(() -> checkProgress(w, 2));
    }

    /** A voter is killed when its vote is durable and not answered yet; back, it is asked for another content. */
    static Optional<String> killedBeforeTheAnswer(long seed) {
        RolloutSimulation w = fleet(seed);
        for (int v : new int[] {2, 3, 4}) {
            Broker b = w.brokers[v];
            b.storage.afterSave = () -> {
                b.storage.afterSave = () -> {};
                b.kill();
            };
        }
        // 0 hears only 2, 3 and 4, which are killed as they vote; their answers are lost, their votes are not.
        w.blocked = (a, b) -> a == 1 && b == 0 || a == 0 && b == 1;
        w.propose(0, document(1, "names 127.0.0.1:1", 100));
        w.run(3 * SECOND_US);
        for (int v : new int[] {2, 3, 4}) {
            if (w.brokers[v].node == null) {
                w.brokers[v].start();
            }
        }
        w.run(SECOND_US);
        w.propose(1, document(1, "names 127.0.0.1:2", 100));
        w.run(10 * SECOND_US);
        w.blocked = (a, b) -> false;
        w.run(30 * SECOND_US);
        return w.violation().or(() -> checkProgress(w, 2));
    }

    /** A version comes in force at its proposer alone; the others that voted for it restart, and are asked for another. */
    static Optional<String> votersRestart(long seed, boolean full) {
        RolloutSimulation w = fleet(seed);
        w.blocked = (a, b) -> outside(a) || outside(b);
        w.brokers[2].storage.full = full;
        w.brokers[3].storage.full = full;
        w.propose(0, document(1, "names 127.0.0.1:1", 100));
        for (int ms = 0; ms < 3000 && w.brokers[0].version() == 0; ms++) {
            w.run(MILLISECOND_US);
        }
        w.blocked = (a, b) -> Math.min(a, b) == 0;
        for (int v : new int[] {2, 3}) {
            w.brokers[v].kill();
            w.brokers[v].storage.full = false;
            w.brokers[v].start();
        }
        w.run(SECOND_US);
        w.propose(1, document(1, "names 127.0.0.1:2", 100));
        w.run(30 * SECOND_US);
        w.blocked = (a, b) -> false;
        w.run(10 * SECOND_US);
        return w.violation().or(() -> checkProgress(w, 2));
    }

    /** Whether a broker is none of those that decide at first. */
    private static boolean outside(int broker) {
        return broker != 0 && broker != 2 && broker != 3;
    }

    /** A voter's vote is counted when it loses its disk; another proposer needs it at once, before the count is over. */
    static Optional<String> emptyDiskWhileVotesAreCounted(long seed) {
        RolloutSimulation w = fleet(seed);
        w.maxDelayUs = MILLISECOND_US;
        // 0 and 2 vote for the first content. The others hear of it, and are cut off from 0 before they have fetched
        // it.
        w.brokers[0].storage.afterSave = () -> w.blocked = (a, b) -> Math.min(a, b) == 0 && Math.max(a, b) != 2;
        w.propose(0, document(1, "names 127.0.0.1:1", 100));
        w.run(50 * MILLISECOND_US);
        w.brokers[0].storage.afterSave = () -> {};
        Broker forgetful = w.brokers[2];
        forgetful.kill();
        forgetful.loseDisk();
        forgetful.start();
        // 4 may answer 2, and nobody else; 0 hears nobody.
        w.blocked = (a, b) -> Math.min(a, b) == 0 || Math.max(a, b) == 4 && Math.min(a, b) != 2;
        w.run(100 * MILLISECOND_US);
        w.blocked = (a, b) -> Math.min(a, b) == 0 || Math.max(a, b) == 4 || Math.min(a, b) == 4;
        w.run(450 * MILLISECOND_US);
        w.propose(1, document(1, "names 127.0.0.1:2", 100));
        w.run(500 * MILLISECOND_US);
        // Now 4, which has not voted, reaches 0 alone, while 0 still counts what 2 said at first.
        w.blocked = (a, b) -> !(Math.min(a, b) == 0 && Math.max(a, b) == 4) && (a == 0 || b == 0 || a == 4 || b == 4);
        w.run(20 * SECOND_US);
        w.blocked = (a, b) -> false;
        w.run(30 * SECOND_US);
        return w.violation().or(() -> checkProgress(w, 2));
    }

    /** One broker announces everything and serves made-up chunks. */
    static Optional<String> liarServes(long seed) {
        RolloutSimulation w = fleet(seed);
        w.brokers[LIAR].kill();
        w.liar = LIAR;
        w.announceLies(20 * MILLISECOND_US);
        w.propose(0, document(1, "names 127.0.0.1:1", 1500));
        w.run(20 * SECOND_US);
        return w.violation().or(() -> checkProgress(w, 2));
    }

    /** A broker is cut off and hears of versions late and out of order. */
    static Optional<String> lateAnswers(long seed) {
        RolloutSimulation w = fleet(seed);
        w.maxDelayUs = 2 * SECOND_US; // datagrams overtake one another by seconds
        w.duplication = 0.5;
        for (int version = 1; version <= 6; version++) {
            w.propose(version % 5, document(version, "names 127.0.0.1:" + version, 500));
            w.run(6 * SECOND_US);
        }
        w.maxDelayUs = 5 * MILLISECOND_US;
        return w.violation().or(() -> checkProgress(w, 7));
    }

    /** Random faults and proposals; then all is healed, and a change has to go through. */
    static Optional<String> randomFaults(long seed) {
        RolloutSimulation w = fleet(seed);
        SplittableRandom random = new SplittableRandom(seed ^ 0x5702L);
        int text = 0;
        for (int step = 0; step < 50; step++) {
            Broker b = w.brokers[random.nextInt(BROKERS)];
            switch (random.nextInt(11)) {
                case 0, 1, 2, 3 -> proposeSomewhere(w, random, text++);
                case 4 -> b.kill();
                case 5 -> killAtTheNextSave(b);
                case 6 -> loseDisk(w, b, random.nextBoolean());
                case 7 -> b.storage.full = random.nextBoolean();
                case 8 -> {
                    long word = random.nextLong();
                    boolean bothWays = random.nextBoolean();
                    w.blocked = (x, y) -> cutBy(word, x, y) || bothWays && cutBy(word, y, x);
                }
                case 9 -> w.blocked = (x, y) -> false;
                default -> {
                    if (b.node != null) {
                        b.pause(random.nextLong(4 * SECOND_US));
                    }
                }
            }
            w.loss = random.nextInt(3) * 0.15;
            w.duplication = random.nextInt(2) * 0.3;
            w.run(random.nextLong(1500 * MILLISECOND_US));
            startSome(w, random);
        }
        heal(w);
        return w.violation().or(() -> checkProgress(w, 1));
    }

    private static boolean cutBy(long word, int from, int to) {
        return from != to && (word >>> (from * 7 + to) % 64 & 3) == 0;
    }

    private static void proposeSomewhere(RolloutSimulation w, SplittableRandom random, int text) {
        long highest = highest(w);
        int count = 1 + random.nextInt(2);
        for (int i = 0; i < count; i++) {
            Broker b = w.brokers[random.nextInt(VOTERS.size())];
            if (b.node != null && b.pausedUntil < 0) {
                long version = Math.max(1, highest + random.nextInt(3));
                w.propose(b.number, document(version, "names 10.0.0." + i + ":" + text, 300));
            }
        }
    }

    private static void killAtTheNextSave(Broker b) {
        b.storage.afterSave = () -> {
            b.storage.afterSave = () -> {};
            b.kill();
        };
    }

    /** One voter at a time may be without its record: that is what the promises rest on. */
    private static void loseDisk(RolloutSimulation w, Broker b, boolean torn) {
        for (int v : VOTERS) {
            Broker other = w.brokers[v];
            boolean sound = other.node != null && other.node.status(w.now).voterPhase() == VoterPhase.VOTING;
            if (v != b.number && !sound) {
                return;
            }
        }
        b.kill();
        if (torn) {
            b.storage.torn = true;
        } else {
            b.loseDisk();
        }
        b.start();
    }

    private static void startSome(RolloutSimulation w, SplittableRandom random) {
        for (Broker b : w.brokers) {
            if (b.node == null && random.nextInt(4) == 0) {
                b.start();
            }
        }
    }

    private static void heal(RolloutSimulation w) {
        w.blocked = (x, y) -> false;
        w.loss = 0;
        w.duplication = 0;
        for (Broker b : w.brokers) {
            b.storage.full = false;
            b.storage.afterSave = () -> {};
            if (b.node == null) {
                b.start();
            }
        }
        w.run(30 * SECOND_US);
    }

    private static long highest(RolloutSimulation w) {
        long highest = 0;
        for (RolloutSimulation.Applied a : w.history) {
            highest = Math.max(highest, a.id().version());
        }
        return highest;
    }

    /** With all healed a change goes through: the next number, or the one that the refusal names. */
    private static Optional<String> checkProgress(RolloutSimulation w, long first) {
        long version = first;
        for (int attempt = 0; attempt < 6; attempt++) {
            Configuration c = document(version, "names 127.0.0.1:9 # " + attempt, 200);
            w.propose(0, c);
            w.run(25 * SECOND_US);
            ProposalOutcome outcome = w.outcome(c.id());
            if (outcome instanceof ProposalOutcome.Chosen) {
                Optional<String> broken = w.violation();
                return broken.isPresent() || w.liar >= 0 || w.isInForceEverywhere(version)
                        ? broken.or(() -> checkInForce(w, c))
                        : Optional.of("version " + version + " is chosen and not in force everywhere");
            }
            version = next(outcome, version);
        }
        return Optional.of(
                "no change goes through: " + w.outcome(document(version, "", 0).id()) + " " + w.endedProposals);
    }

    private static Optional<String> checkInForce(RolloutSimulation w, Configuration c) {
        for (Broker b : w.brokers) {
            if (b.node != null && b.number != w.liar && b.version() < c.version()) {
                return Optional.of("version " + c.version() + " is not in force at " + b.number);
            }
        }
        return Optional.empty();
    }

    private static long next(ProposalOutcome outcome, long version) {
        if (outcome instanceof ProposalOutcome.NotNextVersion n) {
            return n.expectedVersion();
        }
        return outcome instanceof ProposalOutcome.SplitVote c ? c.nextVersion() : version + 1;
    }
}
