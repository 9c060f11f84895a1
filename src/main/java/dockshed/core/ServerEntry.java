package dockshed.core;

import dockshed.Director.Server;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** What the broker knows of a server. */
final class ServerEntry {
    final String id;
    final Map<ServerAdapter, Integer> activeSessions = new HashMap<>(); // number of sessions by adapter
    final Map<String, Server> listings = new LinkedHashMap<>(); // latest entry by source of the list
    Server mergedListing;
    long notUpSince = TimerQueue.NEVER; // when it was first listed as draining or gone; NEVER: it is up

    ServerEntry(String id) {
        this.id = id;
    }
}
