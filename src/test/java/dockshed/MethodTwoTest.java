package dockshed;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Method II against values worked out by hand or known from tables. */
class MethodTwoTest {
    @Test
    void erlangLossAgreesWithTables() {
        // 10 erlang on 10 trunks lose 21.46 %, 2 on 5 lose 3.67 %.
        assertEquals(0.2146, Choice.erlang(10, 10)[10], 5e-5);
        assertEquals(0.0367, Choice.erlang(2, 5)[5], 5e-5);
        assertEquals(1.0, Arrays.stream(Choice.erlang(7.3, 12)).sum(), 1e-12);
    }

    @Test
    void payoffOfOneSlotByHand() {
        // One pool slot, both loads 1 erlang, worths 2 and 1. P(0,0) = 1/2 * 1/2, P(0,1) = 1/4, P(1,0) = 1/2.
        // (7): 1/4 * 1 + 1/2 * 2 = 1.25. Omega(0) = Omega(1) = 0, so (11) = -(1/4 + 1/2) * 1 * 2 = -1.5; (9) = 0.75.
        assertEquals(1.25 - 1.5 - 0.75, Choice.payoff(0, 0, 1, 1, 1, 1, 2, 1), 1e-12);
        // The same slot reserved for premium: (2) = 2 * 1/2; all low arrivals and half the premium find no pool.
        // (11): P(0,0) = 1, phi_h = 1/2: -1/2 * 2; (9): 1 * 1.
        assertEquals(1 - 1 - 1, Choice.payoff(1, 0, 0, 1, 1, 1, 2, 1), 1e-12);
    }

    @Test
    void premiumReserveGrowsWithItsWorthAndLoad() {
        int modest = Choice.bestQuotas(16, 5, 10, 1, 2, 1)[0];
        int dear = Choice.bestQuotas(16, 15, 10, 1, 10, 1)[0];
        assertTrue(dear > modest, modest + " then " + dear);
        assertArrayEquals(new int[] {0, 0}, Choice.bestQuotas(16, 0.01, 0.01, 1, 2, 1));
    }
}
