package dockshed.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What a listener does when the system gives it no descriptor for a connection. */
class AcceptErrorHandlerTest {
    @Test
    void itLetsADescriptorGoAndTriesAgainSoon() {
        // Netty's own answer is to accept nobody for a second.
        int[] full = {0};
        EmbeddedChannel listener = new EmbeddedChannel(new Net.AcceptErrorHandler(() -> full[0]++));
        listener.freezeTime();
        listener.pipeline().fireExceptionCaught(new IOException("Too many open files"));
        listener.pipeline().fireExceptionCaught(new IOException("Too many open files"));
        assertEquals(1, full[0]);
        assertFalse(listener.config().isAutoRead());
        listener.advanceTimeBy(20, TimeUnit.MILLISECONDS);
        listener.runScheduledPendingTasks();
        assertTrue(listener.config().isAutoRead());
        listener.checkException();
    }
}
