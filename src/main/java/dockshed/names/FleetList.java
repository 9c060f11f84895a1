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
final class FleetList {
    /** Weights travel as ten times what they are. */
    private static final double WEIGHT_UNIT = 10;

    private final Map<String, Listing> now = new LinkedHashMap<>();
    private long serial = -1;

    long serial() {
        return serial;
    }

    Map<String, InetSocketAddress> addresses() {
        Map<String, InetSocketAddress> out = new LinkedHashMap<>();
        now.forEach((id, l) -> out.put(id, l.at()));
        return out;
    }

    /** Takes an event from the configuration: the whole list, or what has changed. */
    List<Server> known(long number, ListScope scope, List<Listing> listings) {
        serial = number;
        if (scope == ListScope.DISK) {
            now.clear();
        }
        return apply(listings);
    }

    private List<Server> apply(List<Listing> listings) {
        List<Server> out = new ArrayList<>();
        for (Listing l : listings) {
            out.add(l.server());
            if (l.server().state() == State.GONE) {
                now.remove(l.server().id());
            } else {
                now.put(l.server().id(), l);
            }
        }
        return out;
    }

    /** What a whole list of this number changes, or null where it is older than what is known. */
    List<Server> whole(long number, List<Listing> listings) {
        if (number < serial) {
            return null;
        }
        serial = number;
        Map<String, Listing> next = new LinkedHashMap<>();
        listings.forEach(l -> next.put(l.server().id(), l));
        List<Listing> changes = new ArrayList<>();
        for (Listing was : List.copyOf(now.values())) {
            if (!next.containsKey(was.server().id())) {
                changes.add(gone(was));
            }
        }
        for (Listing l : listings) {
            if (!l.equals(now.get(l.server().id()))) {
                changes.add(l);
            }
        }
        return apply(changes);
    }

    /** What part of a list of this number changes; whoever it does not name stays. */
    List<Server> part(long number, List<Listing> listings) {
        serial = Math.max(serial, number);
        return apply(listings.stream()
                .filter(l -> !l.equals(now.get(l.server().id())))
                .toList());
    }

    /** The server has no records any more. */
    List<Server> gone(String id) {
        Listing was = now.get(id);
        return was == null ? List.of() : apply(List.of(gone(was)));
    }

    Listing get(String id) {
        return now.get(id);
    }

    List<Listing> all() {
        return List.copyOf(now.values());
    }

    private static Listing gone(Listing was) {
        Server s = was.server();
        return new Listing(
                new Server(s.id(), s.zone(), s.kind(), s.cell(), State.GONE, s.weight(), s.upSince()), was.at());
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
    static Listing listing(Record service, Record address, Record text, Listing known) throws Dns.Malformed {
        String[] labels = service.target().split("\\.");
        if (labels.length < 2 || address == null && known == null) {
            throw new Dns.Malformed("target without an address or a zone: " + service.target());
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
            return new Listing(
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
                            address != null ? address.address() : known.at().getHostString(), service.port()));
        } catch (NumberFormatException e) {
            throw new Dns.Malformed("text of " + service.target() + " holds no number: " + e.getMessage());
        }
    }
}
