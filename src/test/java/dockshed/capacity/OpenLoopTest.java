package dockshed.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a load that sends a delivery twice or not at all, and against lost deliveries that drop out of the
 * percentiles, which then look better the more is lost. No other times are asserted, as they depend on the machine.
 */
class OpenLoopTest {

    private static final int RATE_PER_SECOND = 100_000;

    @Test
    void eachDeliveryIsSentOnceAndInOrder() {
        OpenLoop load = new OpenLoop(RATE_PER_SECOND, 0.001);
        List<Integer> sent = new ArrayList<>();
        load.send(sent::add);
        assertEquals(100, load.count());
        assertEquals(IntStream.range(0, 100).boxed().toList(), sent);
    }

    @Test
    void aLostDeliveryCountsAsTheLongestTime() {
        OpenLoop load = new OpenLoop(RATE_PER_SECOND, 0.001);
        load.send(delivery -> {
            if (delivery % 10 != 0) {
                load.delivered(delivery);
            }
            return true;
        });
        OpenLoop.Times times = load.times();
        assertEquals(90, times.delivered());
        assertEquals(10, times.lost());
        assertEquals(OpenLoop.MAX_RECORDED_MICROS / 1e3, times.p99Ms(), OpenLoop.MAX_RECORDED_MICROS / 1e6);
        assertEquals(OpenLoop.MAX_RECORDED_MICROS / 1e3, times.maxMs(), OpenLoop.MAX_RECORDED_MICROS / 1e6);
    }
}
