package dockshed.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** The buffer of received bytes against a plain list of them, and the memory that it gives back. */
class ReceiveBufferTest {
    @Property(seed = "20261206", tries = 300)
    void holdsWhatWasAppendedAndNotConsumed(@ForAll @Size(max = 40) List<@IntRange(max = 5000) Integer> steps) {
        ReceiveBuffer buffer = new ReceiveBuffer();
        byte[] expected = new byte[0];
        byte next = 0;
        for (int step : steps) {
            if (step % 3 == 0) {
                int count = Math.min(step, expected.length);
                buffer.consume(count);
                expected = Arrays.copyOfRange(expected, count, expected.length);
                buffer.trim();
            } else {
                byte[] added = new byte[step];
                Arrays.fill(added, next++);
                buffer.append(added, 0, step);
                ByteArrayOutputStream both = new ByteArrayOutputStream();
                both.writeBytes(expected);
                both.writeBytes(added);
                expected = both.toByteArray();
            }
            assertArrayEquals(expected, buffer.copy(buffer.size()));
        }
    }

    @Test
    void memoryOfALargeReadIsGivenBack() {
        // Guards against connections that hold on to the memory of the largest read that they ever saw.
        ReceiveBuffer buffer = new ReceiveBuffer();
        buffer.append(new byte[100_000], 0, 100_000);
        buffer.consume(99_990);
        buffer.trim();
        assertTrue(buffer.capacity() <= 2 * ReceiveBuffer.MIN_CAPACITY, "capacity " + buffer.capacity());
        assertEquals(10, buffer.size());
        buffer.clear();
        assertTrue(buffer.isEmpty());
    }
}
