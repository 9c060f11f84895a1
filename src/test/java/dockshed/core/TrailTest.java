package dockshed.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The last steps of requests. */
class TrailTest {
    @Test
    void theStepsOfOneRequestAreToldInOrderAndOldOnesMakeRoom() {
        RequestTrace trail = new RequestTrace();
        trail.add(100, "a", "taken", "paid");
        trail.add(150, "b", "taken", null);
        trail.add(400, "a", "out", "s-1");
        assertEquals("taken(paid)+0 out(s-1)+300", trail.stepsOf("a"));
        for (int i = 0; i < RequestTrace.MAX_STEPS - 1; i++) {
            trail.add(500 + i, "c", "taken", null);
        }
        assertEquals("out(s-1)+0", trail.stepsOf("a"), "the older step made room");
        trail.add(9999, "c", "taken", null);
        assertEquals("", trail.stepsOf("a"));
    }
}
