package dockshed.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Behaviour of a listening socket when the system is out of descriptors for a new connection. */
class AcceptErrorHandlerTest {
    @Test
    void failureToAcceptFreesADescriptorAndRetriesSoon() {
        // Guards against Netty's own behaviour, which is to accept no connection for a second.
        int[] shortages = {0};
        EmbeddedChannel listener = new EmbeddedChannel(new Net.AcceptErrorHandler(() -> shortages[0]++));
        listener.freezeTime();
        listener.pipeline().fireExceptionCaught(new IOException("Too many open files"));
        listener.pipeline().fireExceptionCaught(new IOException("Too many open files"));
        assertEquals(1, shortages[0]);
        assertFalse(listener.config().isAutoRead());
        listener.advanceTimeBy(20, TimeUnit.MILLISECONDS);
        listener.runScheduledPendingTasks();
        assertTrue(listener.config().isAutoRead());
        listener.checkException();
    }
}
