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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The instances registered with Eureka, from the JSON of its REST API: a full list, then deltas, each checked against
 * the hash code over the states of all instances. Performs no I/O.
 */
final class EurekaRegistry {
    /** A response is not of Eureka's format, or a delta does not match its hash code. */
    static final class UnusableAnswerException extends Exception {
        private static final long serialVersionUID = 1L;

        UnusableAnswerException(String why) {
            super(why);
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(EurekaRegistry.class);

    private Map<String, JsonObject> instances = new LinkedHashMap<>();
    private final Map<String, ListedServer> usable = new HashMap<>(); // as last read without a fault, by key
    private Map<String, String> loggedFaults = Map.of(); // why, by key

    /**
     * Replaces all instances. The hash code is not checked: there is nothing better to ask for if it does not match.
     */
    void applyFull(String json) throws UnusableAnswerException {
        JsonObject all = applications(json);
        Map<String, JsonObject> read = new LinkedHashMap<>();
        for (JsonObject instance : instances(all)) {
            read.put(key(instance), instance);
        }
        instances = read;
    }

    /**
     * Applies a delta; if the result does not have the delta's hash code, throws and keeps the instances as they were.
     */
    void applyDelta(String json) throws UnusableAnswerException {
        JsonObject all = applications(json);
        Map<String, JsonObject> next = new LinkedHashMap<>(instances);
        for (JsonObject instance : instances(all)) {
            if (textOr(instance, "actionType", "MODIFIED").equals("DELETED")) {
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
        String expected = textOr(all, "apps__hashcode", "");
        if (!expected.equals(hashCodeOf(instances))) {
            throw new UnusableAnswerException("expected hash code " + expected + ", got " + hashCodeOf(instances));
        }
    }

    /**
     * Eureka's hash code: the number of instances with each status, statuses in order, such as {@code DOWN_1_UP_7_}.
     */
    private static String hashCodeOf(Map<String, JsonObject> instances) {
        TreeMap<String, Integer> counts = new TreeMap<>();
        instances.values().forEach(instance -> counts.merge(textOr(instance, "status", "UNKNOWN"), 1, Integer::sum));
        StringBuilder out = new StringBuilder();
        counts.forEach(
                (status, count) -> out.append(status).append('_').append(count).append('_'));
        return out.toString();
    }

    /**
     * The instances of an application as edge servers; one that is not UP is draining. An instance with a faulty value
     * keeps what was last known of it but for its status, or is left out; it does not affect the others.
     *
     * @throws UnusableAnswerException if there are instances and none of them can be used
     */
    List<ListedServer> servers(String app) throws UnusableAnswerException {
        List<ListedServer> servers = new ArrayList<>();
        Map<String, String> faults = new HashMap<>();
        usable.keySet().retainAll(instances.keySet());
        for (Map.Entry<String, JsonObject> entry : instances.entrySet()) {
            if (!textOr(entry.getValue(), "app", "").equalsIgnoreCase(app)) {
                continue;
            }
            try {
                usable.put(entry.getKey(), listedServer(entry.getValue()));
            } catch (RuntimeException e) {
                faults.put(entry.getKey(), String.valueOf(e.getMessage()));
                usable.computeIfPresent(entry.getKey(), (key, before) -> before.withState(state(entry.getValue())));
            }
            if (usable.containsKey(entry.getKey())) {
                servers.add(usable.get(entry.getKey()));
            }
        }
        logNew(faults);
        if (servers.isEmpty() && !faults.isEmpty()) {
            throw new UnusableAnswerException("no usable instance: " + faults);
        }
        return servers;
    }

    private void logNew(Map<String, String> faults) {
        faults.forEach((instance, why) -> {
            if (!why.equals(loggedFaults.get(instance))) {
                LOG.warn("Eureka instance not usable: instance={} why={}", instance, why);
            }
        });
        loggedFaults = faults;
    }

    private static State state(JsonObject instance) {
        return textOr(instance, "status", "").equals("UP") ? State.UP : State.DRAINING;
    }

    private static ListedServer listedServer(JsonObject instance) {
        JsonObject metadata = instance.has("metadata") ? instance.getAsJsonObject("metadata") : new JsonObject();
        JsonObject lease = instance.has("leaseInfo") ? instance.getAsJsonObject("leaseInfo") : new JsonObject();
        long upSince = metadata.has("started")
                ? Math.round(Double.parseDouble(textOr(metadata, "started", "0")) * 1000)
                : lease.has("serviceUpTimestamp")
                        ? lease.get("serviceUpTimestamp").getAsLong() * 1000
                        : 0;
        return new ListedServer(
                new Server(
                        textOr(metadata, "box", textOr(instance, "instanceId", textOr(instance, "hostName", ""))),
                        textOr(metadata, "zone", ""),
                        textOr(metadata, "kind", ""),
                        Integer.parseInt(textOr(metadata, "cell", "0")),
                        state(instance),
                        Double.parseDouble(textOr(metadata, "weight", "1")),
                        upSince),
                new InetSocketAddress(address(textOr(instance, "ipAddr", "")), port(instance)));
    }

    private static String address(String ip) {
        if (!ip.matches("[0-9.]+|[0-9a-fA-F:]+")) {
            throw new IllegalArgumentException("ipAddr is not an IP address");
        }
        return ip;
    }

    private static int port(JsonObject instance) {
        JsonElement port = instance.get("port");
        return port.isJsonObject() ? port.getAsJsonObject().get("$").getAsInt() : port.getAsInt();
    }

    private static JsonObject applications(String json) throws UnusableAnswerException {
        try {
            return JsonParser.parseString(json).getAsJsonObject().getAsJsonObject("applications");
        } catch (JsonParseException | IllegalStateException | ClassCastException | NullPointerException e) {
            throw new UnusableAnswerException("expected a response in Eureka's JSON format");
        }
    }

    private static List<JsonObject> instances(JsonObject all) throws UnusableAnswerException {
        List<JsonObject> out = new ArrayList<>();
        if (all == null) {
            throw new UnusableAnswerException("member 'applications' is missing");
        }
        try {
            for (JsonElement app : asList(all.get("application"))) {
                for (JsonElement instance : asList(app.getAsJsonObject().get("instance"))) {
                    out.add(instance.getAsJsonObject());
                }
            }
        } catch (IllegalStateException e) {
            throw new UnusableAnswerException("expected a response in Eureka's JSON format");
        }
        return out;
    }

    /** The elements of a list. Eureka may write a list of one as that element alone, and leave out an empty one. */
    private static Iterable<JsonElement> asList(JsonElement list) {
        if (list == null || list.isJsonNull()) {
            return List.of();
        }
        return list instanceof JsonArray a ? a : List.of(list);
    }

    private static String key(JsonObject instance) {
        return textOr(instance, "app", "") + '/' + textOr(instance, "instanceId", textOr(instance, "hostName", ""));
    }

    /** The value of a member as text, or {@code defaultValue} if it is absent or not a primitive. */
    private static String textOr(JsonObject object, String key, String defaultValue) {
        JsonElement value = object.get(key);
        return value == null || !value.isJsonPrimitive() ? defaultValue : value.getAsString();
    }
}
