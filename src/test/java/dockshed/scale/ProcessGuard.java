package dockshed.scale;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Ends all registered processes, also when the run fails or is interrupted. */
final class ProcessGuard implements AutoCloseable {
    private final Set<Process> started = ConcurrentHashMap.newKeySet();
    private final Thread hook = new Thread(this::endAll, "process guard");

    ProcessGuard() {
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /** Registers a started process and returns it. */
    Process register(Process process) {
        started.add(process);
        return process;
    }

    private void endAll() {
        for (Process process : started) {
            process.destroyForcibly();
        }
    }

    /** Number of registered processes that still run. */
    long aliveProcesses() {
        return started.stream().filter(Process::isAlive).count();
    }

    /** Ends the registered processes and waits for their exit. */
    @Override
    public void close() {
        endAll();
        for (Process process : started) {
            process.onExit().join();
        }
        started.clear();
    }
}
