package dockshed.capacity;

import com.sun.management.ThreadMXBean;
import com.sun.tools.attach.VirtualMachine;
import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.PlatformManagedObject;
import java.util.List;
import javax.management.MBeanServerConnection;
import javax.management.remote.JMXConnector;
import javax.management.remote.JMXConnectorFactory;
import javax.management.remote.JMXServiceURL;

/**
 * Reads the heap, buffers and allocation of another JVM on this machine through JMX, by attaching to it. The JMX agent uses
 * some of that JVM's heap, the same at every size, so it adds to the intercept of a fit and not to its slope.
 */
public final class JvmProbe implements AutoCloseable {

    /** Successive garbage collections: the first may only clear references to objects that the second frees. */
    private static final int COLLECTIONS_PER_READING = 2;

    private final JMXConnector connector;
    private final MBeanServerConnection connection;
    private final MemoryMXBean memory;
    private final ThreadMXBean threads;

    /** Attaches to the JVM with this process id. */
    public JvmProbe(long pid) throws Exception {
        VirtualMachine machine = VirtualMachine.attach(Long.toString(pid));
        try {
            connector = JMXConnectorFactory.connect(new JMXServiceURL(machine.startLocalManagementAgent()));
        } finally {
            machine.detach();
        }
        connection = connector.getMBeanServerConnection();
        memory = ManagementFactory.newPlatformMXBeanProxy(
                connection, ManagementFactory.MEMORY_MXBEAN_NAME, MemoryMXBean.class);
        threads = ManagementFactory.newPlatformMXBeanProxy(
                connection, ManagementFactory.THREAD_MXBEAN_NAME, ThreadMXBean.class);
    }

    /** Heap in use after full collections, in bytes. */
    public long heapAfterCollection() {
        for (int collection = 0; collection < COLLECTIONS_PER_READING; collection++) {
            memory.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }

    /** Heap that the JVM has committed, in bytes. */
    public long heapCommitted() {
        return memory.getHeapMemoryUsage().getCommitted();
    }

    /** Memory of direct buffers, in bytes. */
    public long directBytes() throws IOException {
        return bufferBytes("direct");
    }

    /** Memory of mapped files, in bytes. */
    public long mappedBytes() throws IOException {
        return bufferBytes("mapped");
    }

    /** Bytes that the broker's event loop threads have allocated so far, garbage included. */
    public long loopAllocatedBytes() {
        long sum = 0;
        for (long id : threads.getAllThreadIds()) {
            var thread = threads.getThreadInfo(id);
            if (thread != null && thread.getThreadName().startsWith("nioEventLoop")) {
                sum += threads.getThreadAllocatedBytes(id);
            }
        }
        return sum;
    }

    /** Resets the peak usage of the memory pools to their present usage. */
    public void resetPeaks() throws IOException {
        for (MemoryPoolMXBean pool : beans(MemoryPoolMXBean.class)) {
            pool.resetPeakUsage();
        }
    }

    /** Upper bound of the heap's peak since the reset, in bytes: the sum of its pools' peaks, which may differ in time. */
    public long peakHeapBound() throws IOException {
        long sum = 0;
        for (MemoryPoolMXBean pool : beans(MemoryPoolMXBean.class)) {
            sum += pool.getType() == MemoryType.HEAP ? pool.getPeakUsage().getUsed() : 0;
        }
        return sum;
    }

    /** Number of garbage collections so far. */
    public long collections() throws IOException {
        return beans(GarbageCollectorMXBean.class).stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionCount)
                .sum();
    }

    /** Time spent in garbage collections so far, in milliseconds. */
    public long collectionMillis() throws IOException {
        return beans(GarbageCollectorMXBean.class).stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                .sum();
    }

    @Override
    public void close() throws IOException {
        connector.close();
    }

    private long bufferBytes(String pool) throws IOException {
        for (BufferPoolMXBean bean : beans(BufferPoolMXBean.class)) {
            if (bean.getName().equals(pool)) {
                return bean.getMemoryUsed();
            }
        }
        throw new IllegalStateException("no buffer pool " + pool);
    }

    private <T extends PlatformManagedObject> List<T> beans(Class<T> type) throws IOException {
        return ManagementFactory.getPlatformMXBeans(connection, type);
    }
}
