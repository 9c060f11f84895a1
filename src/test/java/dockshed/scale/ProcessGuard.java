package dockshed.scale;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Ends every process that was started here, also where the run fails or is interrupted. */
final class ProcessGuard implements AutoCloseable {
    private final Set<Process> started = ConcurrentHashMap.newKeySet();
    private final Thread hook = new Thread(this::endAll, "process guard");

    ProcessGuard() {
        Runtime.getRuntime().addShutdownHook(hook);
    }

    Process register(Process process) {
        started.add(process);
        return process;
    }

    private void endAll() {
        for (Process process : started) {
            process.destroyForcibly();
        }
    }

    /** Processes that still run. */
    long aliveProcesses() {
        return started.stream().filter(Process::isAlive).count();
    }

    /** Ends them and waits until they are gone. */
    @Override
    public void close() {
        endAll();
        for (Process process : started) {
            process.onExit().join();
        }
        started.clear();
    }
}
