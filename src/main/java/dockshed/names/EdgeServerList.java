package dockshed.names;

import dockshed.Director.ListScope;
import dockshed.Director.Server;
import dockshed.Director.State;
import dockshed.names.Dns.Record;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The list of edge servers as last received. Each method returns the changes that it made. Performs no I/O. */
final class EdgeServerList {
    /** SRV records carry weights as whole numbers, in tenths. */
    private static final double WEIGHT_UNIT = 10;

    private final Map<String, ListedServer> current = new LinkedHashMap<>();
    private long serial = -1;

    /** The serial number of the list; -1 before the first one. */
    long serial() {
        return serial;
    }

    /** The addresses of all listed servers, by id. */
    Map<String, InetSocketAddress> addresses() {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        current.forEach((id, listed) -> addresses.put(id, listed.address()));
        return addresses;
    }

    /** Applies a list from the configuration: all servers if {@code scope} is DISK, otherwise those that changed. */
    List<Server> applyConfigured(long newSerial, ListScope scope, List<ListedServer> servers) {
        serial = newSerial;
        if (scope == ListScope.DISK) {
            current.clear();
        }
        return apply(servers);
    }

    private List<Server> apply(List<ListedServer> servers) {
        List<Server> changed = new ArrayList<>();
        for (ListedServer listed : servers) {
            changed.add(listed.server());
            if (listed.server().state() == State.GONE) {
                current.remove(listed.server().id());
            } else {
                current.put(listed.server().id(), listed);
            }
        }
        return changed;
    }

    /** Applies a complete list with this serial number; returns null where it is older than the current one. */
    List<Server> replaceAll(long newSerial, List<ListedServer> servers) {
        if (newSerial < serial) {
            return null;
        }
        serial = newSerial;
        Map<String, ListedServer> next = new LinkedHashMap<>();
        servers.forEach(listed -> next.put(listed.server().id(), listed));
        List<ListedServer> changes = new ArrayList<>();
        for (ListedServer before : List.copyOf(current.values())) {
            if (!next.containsKey(before.server().id())) {
                changes.add(before.withState(State.GONE));
            }
        }
        for (ListedServer listed : servers) {
            if (!listed.equals(current.get(listed.server().id()))) {
                changes.add(listed);
            }
        }
        return apply(changes);
    }

    /** Applies part of a list with this serial number; servers that it does not name stay. */
    List<Server> merge(long newSerial, List<ListedServer> servers) {
        serial = Math.max(serial, newSerial);
        return apply(servers.stream()
                .filter(listed -> !listed.equals(current.get(listed.server().id())))
                .toList());
    }

    /** Removes a server that has no records any more. */
    List<Server> remove(String id) {
        ListedServer before = current.get(id);
        return before == null ? List.of() : apply(List.of(before.withState(State.GONE)));
    }

    /** The server with this id, or null. */
    ListedServer get(String id) {
        return current.get(id);
    }

    List<ListedServer> all() {
        return List.copyOf(current.values());
    }

    /** The serial number in an answer's SOA record; -1 if there is none. */
    static long serial(List<Record> records) {
        return records.stream()
                .filter(r -> r.type() == Dns.SOA)
                .mapToLong(Record::serial)
                .findFirst()
                .orElse(-1);
    }

    /** The records of one type by name. */
    static Map<String, Record> byName(List<Record> records, int type) {
        Map<String, Record> recordsByName = new HashMap<>();
        records.stream().filter(r -> r.type() == type).forEach(r -> recordsByName.put(r.name(), r));
        return recordsByName;
    }

    /**
     * The server that these records describe.
     *
     * @param service    its SRV record, whose target has a zone
     * @param address    its A record, or null
     * @param attributes from its TXT record, or null
     * @param known      the server as listed so far, which replaces what is missing; null only where address and cell are
     *     given
     */
    static ListedServer toListedServer(
            Record service, Record address, ServerAttributes attributes, ListedServer known) {
        String[] labels = service.target().split("\\.");
        Server before = known == null ? new Server("", "", "", 0, State.UP, 0, 0) : known.server();
        ServerAttributes told = attributes == null ? new ServerAttributes(null, null, null) : attributes;
        Server server = new Server(
                labels[0],
                labels[1],
                told.kind() == null ? before.kind() : told.kind(),
                told.cell() == null ? before.cell() : told.cell(),
                service.priority() == 0 ? State.UP : State.DRAINING,
                service.weight() / WEIGHT_UNIT,
                told.startedUs() == null ? before.upSince() : told.startedUs());
        String host = address == null ? known.address().getHostString() : address.address();
        return new ListedServer(server, new InetSocketAddress(host, service.port()));
    }
}
