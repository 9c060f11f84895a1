package dockshed.capacity;

import java.lang.management.ManagementFactory;

/** Processor time and bytes allocated of the calling thread between {@link #start} and a reading. */
public final class ThreadCost {
    private final com.sun.management.ThreadMXBean threads =
            (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
    private long startNanos;
    private long startBytes;

    /** Begins a measurement. */
    public void start() {
        startBytes = threads.getCurrentThreadAllocatedBytes();
        startNanos = threads.getCurrentThreadCpuTime();
    }

    /** Nanoseconds of processor time since the start. */
    public long nanos() {
        return threads.getCurrentThreadCpuTime() - startNanos;
    }

    /** Bytes allocated since the start. */
    public long bytes() {
        return threads.getCurrentThreadAllocatedBytes() - startBytes;
    }

    /** The serial collector leaves small dead objects where they are in all but each fourth full collection. */
    private static final int COLLECTIONS_PER_READING = 4;

    /** Bytes of the heap in use once garbage is collected. */
    public static long usedHeap() {
        for (int pass = 0; pass < COLLECTIONS_PER_READING; pass++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
