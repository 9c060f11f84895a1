package dockshed.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the memory that input takes on all connections of the process together. One half of it is for incomplete
 * messages, the other for requests that wait for their answer, so that neither can crowd out the other.
 *
 * <p>Incomplete messages: beyond the limit, the connection that has waited longest for the rest of its message has to
 * drop it. A peer that writes a message at once is never that one while others stop half way.
 *
 * <p>Waiting requests: up to half of their limit every connection gets what it asks for. Beyond that, a connection gets
 * only as much as the rest of the limit gives to each connection with waiting requests, so that those with few requests
 * are still served.
 *
 * <p>Not thread-safe: for the connections of one event loop.
 */
public final class InputBudget {
    /** Memory of a waiting request beside its bytes: its entries in tables, its timers, its trace. */
    public static final long REQUEST_OVERHEAD_BYTES = 1024;

    /** Part of the heap that input may take: one of this many. */
    private static final long HEAP_PARTS = 8;

    private final long maxIncompleteBytes;
    private final long maxWaitingBytes;
    private final Set<Account> incomplete = new LinkedHashSet<>(); // those that wait longest come first
    private long incompleteBytes;
    private long waitingBytes;
    private int accountsWithWaiting;

    /** Creates a budget of this many bytes. */
    public InputBudget(long maxBytes) {
        maxIncompleteBytes = maxBytes / 2;
        maxWaitingBytes = maxBytes / 2;
    }

    /** The budget of a process with a heap of this many bytes. */
    public static InputBudget forHeap(long heapBytes) {
        return new InputBudget(heapBytes / HEAP_PARTS);
    }

    /** A budget that is never exceeded. */
    public static InputBudget unlimited() {
        return new InputBudget(Long.MAX_VALUE);
    }

    /** Opens the account of a connection; {@code dropMessage} makes it drop its incomplete message. */
    public Account open(Runnable dropMessage) {
        return new Account(dropMessage);
    }

    /** Bytes that incomplete messages and waiting requests take now. */
    public long usedBytes() {
        return incompleteBytes + waitingBytes;
    }

    /** What one connection takes of the budget. */
    public final class Account {
        private final Runnable dropMessage;
        private long ownIncompleteBytes;
        private long ownWaitingBytes;

        private Account(Runnable dropMessage) {
            this.dropMessage = dropMessage;
        }

        /**
         * Sets the memory that an incomplete message takes; 0: there is none. The account keeps its place among those
         * that wait until it is set to 0.
         */
        public void setIncomplete(long bytes) {
            incompleteBytes += bytes - ownIncompleteBytes;
            ownIncompleteBytes = bytes;
            if (bytes == 0) {
                incomplete.remove(this);
                return;
            }
            incomplete.add(this);
            while (incompleteBytes > maxIncompleteBytes && !incomplete.isEmpty()) {
                incomplete.iterator().next().drop();
            }
        }

        private void drop() {
            setIncomplete(0);
            dropMessage.run();
        }

        /** Reserves memory for a request that waits; false: there is not enough, and the request has to be refused. */
        public boolean reserve(long bytes) {
            if (waitingBytes + bytes > maxWaitingBytes || !isWithinShare(bytes)) {
                return false;
            }
            accountsWithWaiting += ownWaitingBytes == 0 ? 1 : 0;
            ownWaitingBytes += bytes;
            waitingBytes += bytes;
            return true;
        }

        private boolean isWithinShare(long bytes) {
            long unshared = maxWaitingBytes / 2;
            return waitingBytes + bytes <= unshared
                    || ownWaitingBytes + bytes <= (maxWaitingBytes - unshared) / Math.max(1, accountsWithWaiting);
        }

        /** Releases what {@link #reserve} has reserved for a request. */
        public void release(long bytes) {
            ownWaitingBytes -= bytes;
            waitingBytes -= bytes;
            accountsWithWaiting -= bytes > 0 && ownWaitingBytes == 0 ? 1 : 0;
        }

        /** Releases all that the connection takes. */
        public void close() {
            setIncomplete(0);
            release(ownWaitingBytes);
        }
    }
}
