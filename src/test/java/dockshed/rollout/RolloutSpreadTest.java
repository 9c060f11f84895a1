package dockshed.rollout;

import static dockshed.rollout.RolloutSimulation.S;
import static dockshed.rollout.RolloutSimulation.document;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import org.junit.jupiter.api.Test;

/** How soon a change is in force at 510 brokers in 7 zones, on the simulated network, and what it costs. */
class RolloutSpreadTest {
    private static final int BROKERS = 510, ZONES = 7;
    private static final List<Integer> VOTERS = List.of(0, 1, 2, 3, 4);
    private static final long TARGET = 17 * S;

    private static RolloutSimulation fleet(long seed) {
        return new RolloutSimulation(BROKERS, ZONES, VOTERS, seed);
    }

    private static void print(String what, RolloutSimulation w, long version, long since) {
        long[] delays = w.delays(version, since);
        System.out.printf(
                "%s: p99_s=%.2f max_s=%.2f%n",
                what, RolloutSimulation.p99(delays) / 1e6, delays[delays.length - 1] / 1e6);
    }

    @Test
    void aChangeIsInForceEverywhereWithAZoneLostAndAFifthOfTheDatagrams() {
        for (int bytes : new int[] {300, Configuration.MOST_BYTES}) {
            RolloutSimulation w = fleet(bytes).startAll();
            w.loss = 0.2;
            for (RolloutSimulation.Broker b : w.brokers) {
                if (w.zone(b.number) == 1) { // a voter is among them
                    b.kill();
                }
            }
            long began = w.now;
            Configuration c = document(1, "names 127.0.0.1:1", bytes);
            w.propose(0, c);
            w.runUntilInForce(1, 40 * S);
            w.ended.forEach(e -> System.out.println((e.at() - began) / 1e6 + " " + e.outcome()));
            long[] all = w.delays(1, began);
            for (int i : new int[] {0, 10, 50, 100, 200, 300, 400, 430, 436}) {
                System.out.print(i + ":" + all[i] / 1e6 + " ");
            }
            print("zone lost, loss 20%, bytes " + bytes, w, 1, began);
            assertInstanceOf(ProposalOutcome.Chosen.class, w.outcome(c.id()));
            w.check();
        }
    }
}
