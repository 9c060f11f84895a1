package dockshed.capacity;

import java.lang.management.ManagementFactory;

/** Measures the CPU time and allocation of the calling thread since {@link #start}. */
public final class ThreadCost {
    private final com.sun.management.ThreadMXBean threads =
            (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
    private long startNanos;
    private long startBytes;

    /** Starts a measurement. */
    public void start() {
        startBytes = threads.getCurrentThreadAllocatedBytes();
        startNanos = threads.getCurrentThreadCpuTime();
    }

    /** CPU time since the start, in nanoseconds. */
    public long nanos() {
        return threads.getCurrentThreadCpuTime() - startNanos;
    }

    /** Bytes allocated since the start. */
    public long bytes() {
        return threads.getCurrentThreadAllocatedBytes() - startBytes;
    }

    /** The serial collector leaves small dead objects in place in all but every fourth full collection. */
    private static final int COLLECTIONS_PER_READING = 4;

    /** Heap in use after garbage collections, in bytes. */
    public static long usedHeap() {
        for (int pass = 0; pass < COLLECTIONS_PER_READING; pass++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
