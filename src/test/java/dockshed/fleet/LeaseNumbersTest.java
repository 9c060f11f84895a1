package dockshed.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import dockshed.topology.ZoneMap;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The numbers by which a broker recognises votes and leases as answers to its own requests. */
class LeaseNumbersTest {
    private static final long SEED = 7; // a configuration that stays the same across restarts
    private static final int BROKERS = 2;

    /** The numbers of the first vote requests that either of two brokers sends in that incarnation. */
    private static List<Integer> firstRounds(long incarnation) {
        List<Integer> rounds = new ArrayList<>();
        ZoneMap zones = FleetSettings.DEFAULTS.zoneMap(BROKERS);
        for (int me = 0; me < BROKERS; me++) {
            Membership membership =
                    new Membership(me, zones.scopeOf(me), incarnation, 0, 1, new SplittableRandom(SEED));
            membership.member(1 - me).state = Member.State.ALIVE;
            LeasedShares shares = new LeasedShares(
                    me,
                    zones,
                    FleetSettings.DEFAULTS.guaranteedShare(),
                    incarnation,
                    0,
                    membership,
                    new SplittableRandom(SEED));
            shares.tick(
                    0,
                    new EntryStore(me, zones.scopeOf(me), incarnation),
                    (to, items) -> items.stream()
                            .filter(item -> item.kind() == Envelope.VOTE_REQUEST)
                            .forEach(item -> rounds.add(item.read().getInt())));
        }
        return rounds;
    }

    @Test
    void aRestartedBrokerDoesNotTakeVotesForItsPredecessorAsItsOwn() {
        // Guards against a vote that was cast for the process before the restart and makes the new one a coordinator
        // that
        // does not know the leases still running: with the same seed, both numbered their requests alike.
        List<Integer> before = firstRounds(1_000);
        List<Integer> after = firstRounds(2_000);
        assertEquals(1, before.size());
        assertNotEquals(before, after);
    }
}
