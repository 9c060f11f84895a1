package dockshed.edge;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

/** An edge server and the connections to it, the oldest first. */
final class ServerEntry {
    final String id;
    InetSocketAddress address;
    final List<EdgeServerConnection> connections = new ArrayList<>();
    boolean hasSessions;
    int connectFailures; // consecutive
    long lastReceivedAt; // when the server last sent anything
    long lastAttemptAt; // when a connection was last opened on behalf of the server's sessions
    long suspectSince = -1; // since when its process may be gone; -1: not suspect
    final ProcessEnd processEnd = new ProcessEnd();
    final ReleaseRecovery releaseRecovery = new ReleaseRecovery();
    boolean recoveryScheduled; // recoverReleases is to run
    final ArrayDeque<Message> queuedMessages = new ArrayDeque<>(); // sent once a connection is open again
    /** Ids of cancelled set-ups, the oldest first, with the time; bounded by the pool. */
    final LinkedHashMap<String, Long> cancelledAt = new LinkedHashMap<>();

    ServerEntry(String id) {
        this.id = id;
    }
}
