package dockshed.eureka;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import dockshed.Director.Server;
import dockshed.Director.State;
import dockshed.names.ListedServer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Eureka's registry as its REST API tells it in JSON: whole, then by deltas that are checked against the hash code
 * of all instances' states. No I/O.
 */
final class EurekaRegistry {
    /** An answer that is not Eureka's, or a delta that does not fit. */
    static final class UnusableAnswerException extends Exception {
        private static final long serialVersionUID = 1L;

        UnusableAnswerException(String why) {
            super(why);
        }
    }

    private Map<String, JsonObject> instances = new LinkedHashMap<>();

    /** Takes the whole list as it is: nothing better could be asked for, whatever hash code it carries. */
    void applyFull(String json) throws UnusableAnswerException {
        JsonObject all = applications(json);
        Map<String, JsonObject> read = new LinkedHashMap<>();
        for (JsonObject instance : instances(all)) {
            read.put(key(instance), instance);
        }
        instances = read;
    }

    /** Takes a delta; throws, and keeps what it had, where the outcome has not the hash code that it should. */
    void applyDelta(String json) throws UnusableAnswerException {
        JsonObject all = applications(json);
        Map<String, JsonObject> next = new LinkedHashMap<>(instances);
        for (JsonObject instance : instances(all)) {
            if (text(instance, "actionType", "MODIFIED").equals("DELETED")) {
                next.remove(key(instance));
            } else {
                next.put(key(instance), instance);
            }
        }
        checkHashCode(all, next);
        instances = next;
    }

    private static void checkHashCode(JsonObject all, Map<String, JsonObject> instances)
            throws UnusableAnswerException {
        String told = text(all, "apps__hashcode", "");
        if (!told.equals(hashCodeOf(instances))) {
            throw new UnusableAnswerException("hash code " + told + " is not " + hashCodeOf(instances));
        }
    }

    /** How many instances have each status, the statuses in order: {@code DOWN_1_UP_7_}. */
    private static String hashCodeOf(Map<String, JsonObject> instances) {
        TreeMap<String, Integer> counts = new TreeMap<>();
        instances.values().forEach(i -> counts.merge(text(i, "status", "UNKNOWN"), 1, Integer::sum));
        StringBuilder out = new StringBuilder();
        counts.forEach(
                (status, count) -> out.append(status).append('_').append(count).append('_'));
        return out.toString();
    }

    /** The instances of an application as servers. */
    List<ListedServer> servers(String app) throws UnusableAnswerException {
        List<ListedServer> out = new ArrayList<>();
        for (JsonObject i : instances.values()) {
            if (!text(i, "app", "").equalsIgnoreCase(app)) {
                continue;
            }
            try {
                JsonObject facts = i.has("metadata") ? i.getAsJsonObject("metadata") : new JsonObject();
                JsonObject lease = i.has("leaseInfo") ? i.getAsJsonObject("leaseInfo") : new JsonObject();
                State state = text(i, "status", "").equals("UP") ? State.UP : State.DRAINING;
                long since = facts.has("started")
                        ? Math.round(Double.parseDouble(text(facts, "started", "0")) * 1000)
                        : lease.has("serviceUpTimestamp")
                                ? lease.get("serviceUpTimestamp").getAsLong() * 1000
                                : 0;
                out.add(new ListedServer(
                        new Server(
                                text(facts, "box", text(i, "instanceId", text(i, "hostName", ""))),
                                text(facts, "zone", ""),
                                text(facts, "kind", ""),
                                Integer.parseInt(text(facts, "cell", "0")),
                                state,
                                Double.parseDouble(text(facts, "weight", "1")),
                                since),
                        new InetSocketAddress(address(text(i, "ipAddr", "")), port(i))));
            } catch (RuntimeException e) {
                throw new UnusableAnswerException("instance " + text(i, "instanceId", "?") + ": " + e.getMessage());
            }
        }
        return out;
    }

    private static String address(String ip) {
        if (!ip.matches("[0-9.]+|[0-9a-fA-F:]+")) {
            throw new IllegalArgumentException("ipAddr is no address");
        }
        return ip;
    }

    private static int port(JsonObject i) {
        JsonElement port = i.get("port");
        return port.isJsonObject() ? port.getAsJsonObject().get("$").getAsInt() : port.getAsInt();
    }

    private static JsonObject applications(String json) throws UnusableAnswerException {
        try {
            return JsonParser.parseString(json).getAsJsonObject().getAsJsonObject("applications");
        } catch (JsonParseException | IllegalStateException | ClassCastException | NullPointerException e) {
            throw new UnusableAnswerException("not an answer of Eureka's");
        }
    }

    private static List<JsonObject> instances(JsonObject all) throws UnusableAnswerException {
        List<JsonObject> out = new ArrayList<>();
        if (all == null) {
            throw new UnusableAnswerException("no applications");
        }
        try {
            for (JsonElement app : asList(all.get("application"))) {
                for (JsonElement i : asList(app.getAsJsonObject().get("instance"))) {
                    out.add(i.getAsJsonObject());
                }
            }
        } catch (IllegalStateException e) {
            throw new UnusableAnswerException("not an answer of Eureka's");
        }
        return out;
    }

    /** A list of one may stand there as the one itself, and an empty one not at all. */
    private static Iterable<JsonElement> asList(JsonElement list) {
        if (list == null || list.isJsonNull()) {
            return List.of();
        }
        return list instanceof JsonArray a ? a : List.of(list);
    }

    private static String key(JsonObject i) {
        return text(i, "app", "") + '/' + text(i, "instanceId", text(i, "hostName", ""));
    }

    private static String text(JsonObject o, String key, String absent) {
        JsonElement e = o.get(key);
        return e == null || !e.isJsonPrimitive() ? absent : e.getAsString();
    }
}
