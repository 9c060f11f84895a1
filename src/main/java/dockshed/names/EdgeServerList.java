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

/** The fleet as last told, and what each whole list changes in it. No I/O. */
final class EdgeServerList {
    /** Weights travel as ten times what they are. */
    private static final double WEIGHT_UNIT = 10;

    private final Map<String, ListedServer> current = new LinkedHashMap<>();
    private long serial = -1;

    long serial() {
        return serial;
    }

    Map<String, InetSocketAddress> addresses() {
        Map<String, InetSocketAddress> out = new LinkedHashMap<>();
        current.forEach((id, l) -> out.put(id, l.address()));
        return out;
    }

    /** Takes an event from the configuration: the whole list, or what has changed. */
    List<Server> applyConfigured(long number, ListScope scope, List<ListedServer> listings) {
        serial = number;
        if (scope == ListScope.DISK) {
            current.clear();
        }
        return apply(listings);
    }

    private List<Server> apply(List<ListedServer> listings) {
        List<Server> out = new ArrayList<>();
        for (ListedServer l : listings) {
            out.add(l.server());
            if (l.server().state() == State.GONE) {
                current.remove(l.server().id());
            } else {
                current.put(l.server().id(), l);
            }
        }
        return out;
    }

    /** What a whole list of this number changes, or null where it is older than what is known. */
    List<Server> replaceAll(long number, List<ListedServer> listings) {
        if (number < serial) {
            return null;
        }
        serial = number;
        Map<String, ListedServer> next = new LinkedHashMap<>();
        listings.forEach(l -> next.put(l.server().id(), l));
        List<ListedServer> changes = new ArrayList<>();
        for (ListedServer was : List.copyOf(current.values())) {
            if (!next.containsKey(was.server().id())) {
                changes.add(remove(was));
            }
        }
        for (ListedServer l : listings) {
            if (!l.equals(current.get(l.server().id()))) {
                changes.add(l);
            }
        }
        return apply(changes);
    }

    /** What part of a list of this number changes; whoever it does not name stays. */
    List<Server> merge(long number, List<ListedServer> listings) {
        serial = Math.max(serial, number);
        return apply(listings.stream()
                .filter(l -> !l.equals(current.get(l.server().id())))
                .toList());
    }

    /** The server has no records any more. */
    List<Server> remove(String id) {
        ListedServer was = current.get(id);
        return was == null ? List.of() : apply(List.of(remove(was)));
    }

    ListedServer get(String id) {
        return current.get(id);
    }

    List<ListedServer> all() {
        return List.copyOf(current.values());
    }

    private static ListedServer remove(ListedServer was) {
        Server s = was.server();
        return new ListedServer(
                new Server(s.id(), s.zone(), s.kind(), s.cell(), State.GONE, s.weight(), s.upSince()), was.address());
    }

    /** The serial of the list in an answer; -1 where there is none. */
    static long serial(List<Record> records) {
        return records.stream()
                .filter(r -> r.type() == Dns.SOA)
                .mapToLong(Record::serial)
                .findFirst()
                .orElse(-1);
    }

    static Map<String, Record> byName(List<Record> records, int type) {
        Map<String, Record> out = new HashMap<>();
        records.stream().filter(r -> r.type() == type).forEach(r -> out.put(r.name(), r));
        return out;
    }

    /** A server as its records tell; what {@code address} or {@code text} lacks is as {@code known}, which may be null. */
    static ListedServer toListedServer(Record service, Record address, Record text, ListedServer known)
            throws Dns.MalformedMessageException {
        String[] labels = service.target().split("\\.");
        if (labels.length < 2 || address == null && known == null) {
            throw new Dns.MalformedMessageException("target without an address or a zone: " + service.target());
        }
        Map<String, String> facts = new HashMap<>();
        if (text != null) {
            for (String each : text.texts()) {
                int equals = each.indexOf('=');
                if (equals > 0) {
                    facts.put(each.substring(0, equals), each.substring(equals + 1));
                }
            }
        }
        Server was = text != null || known == null ? new Server("", "", "", 0, State.UP, 0, 0) : known.server();
        try {
            return new ListedServer(
                    new Server(
                            labels[0],
                            labels[1],
                            facts.getOrDefault("kind", was.kind()),
                            facts.containsKey("cell") ? Integer.parseInt(facts.get("cell")) : was.cell(),
                            service.priority() == 0 ? State.UP : State.DRAINING,
                            service.weight() / WEIGHT_UNIT,
                            facts.containsKey("started")
                                    ? Math.round(Double.parseDouble(facts.get("started")) * 1000)
                                    : was.upSince()),
                    new InetSocketAddress(
                            address != null
                                    ? address.address()
                                    : known.address().getHostString(),
                            service.port()));
        } catch (NumberFormatException e) {
            throw new Dns.MalformedMessageException(
                    "text of " + service.target() + " holds no number: " + e.getMessage());
        }
    }
}
