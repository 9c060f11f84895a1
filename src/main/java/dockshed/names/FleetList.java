package dockshed.names;

import dockshed.Director.Scope;
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
    List<Server> known(long number, Scope scope, List<Listing> listings) {
        serial = number;
        if (scope == Scope.DISK) {
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
                Server s = was.server();
                changes.add(new Listing(new Server(s.id(), s.zone(), s.kind(), s.cell(), State.GONE, s.weight(),
                        s.upSince()), was.at()));
            }
        }
        for (Listing l : listings) {
            if (!l.equals(now.get(l.server().id()))) {
                changes.add(l);
            }
        }
        return apply(changes);
    }

    /** The serial of the list in an answer; -1 where there is none. */
    static long serial(List<Record> records) {
        return records.stream().filter(r -> r.type() == Dns.SOA).mapToLong(Record::serial).findFirst().orElse(-1);
    }

    /** The targets of an answer that lack an address or a text in it. */
    static List<String> lacking(List<Record> records, int type) {
        Map<String, Record> have = byName(records, type);
        return records.stream().filter(r -> r.type() == Dns.SRV && !have.containsKey(r.target()))
                .map(Record::target).distinct().toList();
    }

    private static Map<String, Record> byName(List<Record> records, int type) {
        Map<String, Record> out = new HashMap<>();
        records.stream().filter(r -> r.type() == type).forEach(r -> out.put(r.name(), r));
        return out;
    }

    /** The list that an answer's records make. */
    static List<Listing> listings(List<Record> records, String service) throws Dns.Malformed {
        Map<String, Record> addresses = byName(records, Dns.A);
        Map<String, Record> texts = byName(records, Dns.TXT);
        List<Listing> out = new ArrayList<>();
        for (Record r : records) {
            if (r.type() != Dns.SRV || !r.name().equals(service)) {
                continue;
            }
            Record address = addresses.get(r.target());
            String[] labels = r.target().split("\\.");
            if (address == null || labels.length < 2) {
                throw new Dns.Malformed("target without an address or a zone: " + r.target());
            }
            Map<String, String> facts = new HashMap<>();
            if (texts.containsKey(r.target())) {
                for (String text : texts.get(r.target()).texts()) {
                    int equals = text.indexOf('=');
                    if (equals > 0) {
                        facts.put(text.substring(0, equals), text.substring(equals + 1));
                    }
                }
            }
            try {
                out.add(new Listing(new Server(labels[0], labels[1], facts.getOrDefault("kind", ""),
                        Integer.parseInt(facts.getOrDefault("cell", "0")),
                        r.priority() == 0 ? State.UP : State.DRAINING, r.weight() / WEIGHT_UNIT,
                        Math.round(Double.parseDouble(facts.getOrDefault("started", "0")) * 1000)),
                        new InetSocketAddress(address.address(), r.port())));
            } catch (NumberFormatException e) {
                throw new Dns.Malformed("text of " + r.target() + " holds no number: " + e.getMessage());
            }
        }
        return out;
    }
}
