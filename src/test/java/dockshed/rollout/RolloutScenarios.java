package dockshed.rollout;

import static dockshed.rollout.RolloutSimulation.MILLISECOND_US;
import static dockshed.rollout.RolloutSimulation.SECOND_US;
import static dockshed.rollout.RolloutSimulation.document;

import dockshed.rollout.RolloutSimulation.Broker;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Sequences of proposals and faults. Each returns which guarantee was violated, or empty, so that the program and its
 * mutants are checked in the same way.
 */
public final class RolloutScenarios {
    private static final List<Integer> VOTERS = List.of(0, 1, 2, 3, 4);
    private static final int BROKERS = 9;
    private static final int BYZANTINE_BROKER = 8;

    private RolloutScenarios() {}

    /** An exception from a mutant counts as a violation. */
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

    /** Runs all scenarios with one seed. */
    public static Optional<String> all(long seed) {
        return failureOf(() -> twoProposers(seed))
                .or(() -> failureOf(() -> killedBeforeTheAnswer(seed)))
                .or(() -> failureOf(() -> votersRestart(seed, false)))
                .or(() -> failureOf(() -> votersRestart(seed, true)))
                .or(() -> failureOf(() -> emptyDiskWhileVotesAreCounted(seed)))
                .or(() -> failureOf(() -> byzantineBrokerServes(seed)))
                .or(() -> failureOf(() -> lateAnswers(seed)))
                .or(() -> failureOf(() -> randomFaults(seed)));
    }

    private static RolloutSimulation fleet(long seed) {
        return new RolloutSimulation(BROKERS, 2, VOTERS, seed).startAll();
    }

    /** Two voters propose different contents of one version at the same time, with a fifth of the datagrams lost. */
    static Optional<String> twoProposers(long seed) {
        RolloutSimulation simulation = fleet(seed);
        simulation.loss = 0.2;
        simulation.propose(0, document(1, "names 127.0.0.1:1", 100));
        simulation.propose(1, document(1, "names 127.0.0.1:2", 100));
        simulation.run(30 * SECOND_US);
        return simulation.violation().or(() -> checkProgress(simulation, 2));
    }

    /**
     * Guards against votes that are not durable: three voters are killed after their votes are saved and before they
     * are answered; restarted, they are asked for another content.
     */
    static Optional<String> killedBeforeTheAnswer(long seed) {
        RolloutSimulation simulation = fleet(seed);
        for (int voter : new int[] {2, 3, 4}) {
            Broker broker = simulation.brokers[voter];
            broker.storage.afterSave = () -> {
                broker.storage.afterSave = () -> {};
                broker.kill();
            };
        }
        // 0 receives only from 2, 3 and 4, which are killed as they vote; their answers are lost, their votes are not.
        simulation.blocked = (from, to) -> from == 1 && to == 0 || from == 0 && to == 1;
        simulation.propose(0, document(1, "names 127.0.0.1:1", 100));
        simulation.run(3 * SECOND_US);
        for (int voter : new int[] {2, 3, 4}) {
            if (simulation.brokers[voter].node == null) {
                simulation.brokers[voter].start();
            }
        }
        simulation.run(SECOND_US);
        simulation.propose(1, document(1, "names 127.0.0.1:2", 100));
        simulation.run(10 * SECOND_US);
        simulation.blocked = (from, to) -> false;
        simulation.run(30 * SECOND_US);
        return simulation.violation().or(() -> checkProgress(simulation, 2));
    }

    /**
     * A version is in force at its proposer alone; the others that voted for it restart and are asked for another
     * content. With {@code full} their disks were full.
     */
    static Optional<String> votersRestart(long seed, boolean full) {
        RolloutSimulation simulation = fleet(seed);
        simulation.blocked = (from, to) -> takesNoPartAtFirst(from) || takesNoPartAtFirst(to);
        simulation.brokers[2].storage.full = full;
        simulation.brokers[3].storage.full = full;
        simulation.propose(0, document(1, "names 127.0.0.1:1", 100));
        for (int ms = 0; ms < 3000 && simulation.brokers[0].version() == 0; ms++) {
            simulation.run(MILLISECOND_US);
        }
        simulation.blocked = (from, to) -> Math.min(from, to) == 0;
        for (int voter : new int[] {2, 3}) {
            simulation.brokers[voter].kill();
            simulation.brokers[voter].storage.full = false;
            simulation.brokers[voter].start();
        }
        simulation.run(SECOND_US);
        simulation.propose(1, document(1, "names 127.0.0.1:2", 100));
        simulation.run(30 * SECOND_US);
        simulation.blocked = (from, to) -> false;
        simulation.run(10 * SECOND_US);
        return simulation.violation().or(() -> checkProgress(simulation, 2));
    }

    /** Whether a broker is none of the three that decide at first. */
    private static boolean takesNoPartAtFirst(int broker) {
        return broker != 0 && broker != 2 && broker != 3;
    }

    /**
     * A voter loses its disk while its vote is being counted, and another proposer needs its vote at once, before the
     * count is over.
     */
    static Optional<String> emptyDiskWhileVotesAreCounted(long seed) {
        RolloutSimulation simulation = fleet(seed);
        simulation.maxDelayUs = MILLISECOND_US;
        // 0 and 2 vote for the first content. The others receive the proposal, and are cut off from 0 before they have
        // fetched the content.
        simulation.brokers[0].storage.afterSave =
                () -> simulation.blocked = (from, to) -> Math.min(from, to) == 0 && Math.max(from, to) != 2;
        simulation.propose(0, document(1, "names 127.0.0.1:1", 100));
        simulation.run(50 * MILLISECOND_US);
        simulation.brokers[0].storage.afterSave = () -> {};
        Broker forgetful = simulation.brokers[2];
        forgetful.kill();
        forgetful.loseDisk();
        forgetful.start();
        // 4 may answer 2 and nobody else; 0 receives from nobody.
        simulation.blocked =
                (from, to) -> Math.min(from, to) == 0 || Math.max(from, to) == 4 && Math.min(from, to) != 2;
        simulation.run(100 * MILLISECOND_US);
        simulation.blocked =
                (from, to) -> Math.min(from, to) == 0 || Math.max(from, to) == 4 || Math.min(from, to) == 4;
        simulation.run(450 * MILLISECOND_US);
        simulation.propose(1, document(1, "names 127.0.0.1:2", 100));
        simulation.run(500 * MILLISECOND_US);
        // Now 4, which has not voted, reaches only 0, while 0 still counts the first answer of 2.
        simulation.blocked = (from, to) ->
                !(Math.min(from, to) == 0 && Math.max(from, to) == 4) && (from == 0 || to == 0 || from == 4 || to == 4);
        simulation.run(20 * SECOND_US);
        simulation.blocked = (from, to) -> false;
        simulation.run(30 * SECOND_US);
        return simulation.violation().or(() -> checkProgress(simulation, 2));
    }

    /** One broker announces every configuration and serves forged chunks. */
    static Optional<String> byzantineBrokerServes(long seed) {
        RolloutSimulation simulation = fleet(seed);
        simulation.brokers[BYZANTINE_BROKER].kill();
        simulation.byzantineBroker = BYZANTINE_BROKER;
        simulation.startForgedAnnouncements(20 * MILLISECOND_US);
        simulation.propose(0, document(1, "names 127.0.0.1:1", 1500));
        simulation.run(20 * SECOND_US);
        return simulation.violation().or(() -> checkProgress(simulation, 2));
    }

    /** Datagrams are duplicated and delayed by up to two seconds, so versions are announced late and out of order. */
    static Optional<String> lateAnswers(long seed) {
        RolloutSimulation simulation = fleet(seed);
        simulation.maxDelayUs = 2 * SECOND_US; // datagrams overtake one another by seconds
        simulation.duplication = 0.5;
        for (int version = 1; version <= 6; version++) {
            simulation.propose(version % 5, document(version, "names 127.0.0.1:" + version, 500));
            simulation.run(6 * SECOND_US);
        }
        simulation.maxDelayUs = 5 * MILLISECOND_US;
        return simulation.violation().or(() -> checkProgress(simulation, 7));
    }

    /** Random faults and proposals; then all faults end, and a change has to succeed. */
    static Optional<String> randomFaults(long seed) {
        RolloutSimulation simulation = fleet(seed);
        SplittableRandom random = new SplittableRandom(seed ^ 0x5702L);
        int text = 0;
        for (int step = 0; step < 50; step++) {
            Broker broker = simulation.brokers[random.nextInt(BROKERS)];
            switch (random.nextInt(11)) {
                case 0, 1, 2, 3 -> proposeSomewhere(simulation, random, text++);
                case 4 -> broker.kill();
                case 5 -> killAtTheNextSave(broker);
                case 6 -> loseDisk(simulation, broker, random.nextBoolean());
                case 7 -> broker.storage.full = random.nextBoolean();
                case 8 -> {
                    long word = random.nextLong();
                    boolean bothWays = random.nextBoolean();
                    simulation.blocked =
                            (from, to) -> isBlockedBy(word, from, to) || bothWays && isBlockedBy(word, to, from);
                }
                case 9 -> simulation.blocked = (from, to) -> false;
                default -> {
                    if (broker.node != null) {
                        broker.pause(random.nextLong(4 * SECOND_US));
                    }
                }
            }
            simulation.loss = random.nextInt(3) * 0.15;
            simulation.duplication = random.nextInt(2) * 0.3;
            simulation.run(random.nextLong(1500 * MILLISECOND_US));
            startSome(simulation, random);
        }
        heal(simulation);
        return simulation.violation().or(() -> checkProgress(simulation, 1));
    }

    private static boolean isBlockedBy(long mask, int from, int to) {
        return from != to && (mask >>> (from * 7 + to) % 64 & 3) == 0;
    }

    private static void proposeSomewhere(RolloutSimulation simulation, SplittableRandom random, int text) {
        long highest = highest(simulation);
        int count = 1 + random.nextInt(2);
        for (int i = 0; i < count; i++) {
            Broker broker = simulation.brokers[random.nextInt(VOTERS.size())];
            if (broker.node != null && broker.pausedUntil < 0) {
                long version = Math.max(1, highest + random.nextInt(3));
                simulation.propose(broker.number, document(version, "names 10.0.0." + i + ":" + text, 300));
            }
        }
    }

    private static void killAtTheNextSave(Broker broker) {
        broker.storage.afterSave = () -> {
            broker.storage.afterSave = () -> {};
            broker.kill();
        };
    }

    /**
     * Replaces a voter's disk, or damages its record, if all other voters vote: the guarantees assume that only one at
     * a time is without its record.
     */
    private static void loseDisk(RolloutSimulation simulation, Broker broker, boolean torn) {
        for (int voter : VOTERS) {
            Broker other = simulation.brokers[voter];
            boolean votes =
                    other.node != null && other.node.status(simulation.now).voterPhase() == VoterPhase.VOTING;
            if (voter != broker.number && !votes) {
                return;
            }
        }
        broker.kill();
        if (torn) {
            broker.storage.torn = true;
        } else {
            broker.loseDisk();
        }
        broker.start();
    }

    private static void startSome(RolloutSimulation simulation, SplittableRandom random) {
        for (Broker broker : simulation.brokers) {
            if (broker.node == null && random.nextInt(4) == 0) {
                broker.start();
            }
        }
    }

    private static void heal(RolloutSimulation simulation) {
        simulation.blocked = (from, to) -> false;
        simulation.loss = 0;
        simulation.duplication = 0;
        for (Broker broker : simulation.brokers) {
            broker.storage.full = false;
            broker.storage.afterSave = () -> {};
            if (broker.node == null) {
                broker.start();
            }
        }
        simulation.run(30 * SECOND_US);
    }

    private static long highest(RolloutSimulation simulation) {
        long highest = 0;
        for (RolloutSimulation.Applied applied : simulation.history) {
            highest = Math.max(highest, applied.id().version());
        }
        return highest;
    }

    /** Without faults a change must succeed: the next version, or the one that the outcome names. */
    private static Optional<String> checkProgress(RolloutSimulation simulation, long first) {
        long version = first;
        for (int attempt = 0; attempt < 6; attempt++) {
            Configuration configuration = document(version, "names 127.0.0.1:9 # " + attempt, 200);
            simulation.propose(0, configuration);
            simulation.run(25 * SECOND_US);
            ProposalOutcome outcome = simulation.outcome(configuration.id());
            if (outcome instanceof ProposalOutcome.Chosen) {
                Optional<String> broken = simulation.violation();
                return broken.isPresent() || simulation.byzantineBroker >= 0 || simulation.isInForceEverywhere(version)
                        ? broken.or(() -> checkInForce(simulation, configuration))
                        : Optional.of("version " + version + " is chosen and not in force everywhere");
            }
            version = next(outcome, version);
        }
        return Optional.of("no change succeeds: "
                + simulation.outcome(document(version, "", 0).id()) + " " + simulation.endedProposals);
    }

    private static Optional<String> checkInForce(RolloutSimulation simulation, Configuration configuration) {
        for (Broker broker : simulation.brokers) {
            if (broker.node != null
                    && broker.number != simulation.byzantineBroker
                    && broker.version() < configuration.version()) {
                return Optional.of("version " + configuration.version() + " is not in force at " + broker.number);
            }
        }
        return Optional.empty();
    }

    private static long next(ProposalOutcome outcome, long version) {
        if (outcome instanceof ProposalOutcome.NotNextVersion notNext) {
            return notNext.expectedVersion();
        }
        return outcome instanceof ProposalOutcome.SplitVote split ? split.nextVersion() : version + 1;
    }
}
