package dockshed.rtsp;

import dockshed.net.HttpStyleMessage;
import dockshed.net.InputBudget;
import java.util.HashMap;
import java.util.Map;

/** The memory that the set-ups of one connection take until they are answered, by session. */
final class SetUpReservations {
    /** A description is held as text, and once more in the message to the edge server. */
    private static final long DESCRIPTION_COPIES = 2;

    private final InputBudget.Account memory;
    private final Map<String, Long> bytesBySession = new HashMap<>();

    SetUpReservations(InputBudget.Account memory) {
        this.memory = memory;
    }

    /** Reserves memory for a set-up that arrived in this message; false: there is not enough. */
    boolean reserve(String session, HttpStyleMessage message) {
        long bytes = InputBudget.REQUEST_OVERHEAD_BYTES + DESCRIPTION_COPIES * message.body().length;
        if (!memory.reserve(bytes)) {
            return false;
        }
        bytesBySession.put(session, bytes);
        return true;
    }

    /** The set-up is answered or taken back; does nothing if no memory is reserved for it. */
    void release(String session) {
        Long bytes = bytesBySession.remove(session);
        if (bytes != null) {
            memory.release(bytes);
        }
    }

    void releaseAll() {
        bytesBySession.values().forEach(memory::release);
        bytesBySession.clear();
    }
}
