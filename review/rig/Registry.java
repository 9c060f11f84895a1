package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** A sound Eureka registry with one application: the list of all instances, and the changes of the last three minutes. */
final class Registry {
    private record Instance(String id, int port, int cell, String status, long changedAtMs) {
        String toJson() {
            return ("{'instanceId':'" + id + "','hostName':'127.0.0.1','app':'LESSON-BOXES','ipAddr':'127.0.0.1','status':'"
                            + status + "','port':{'$':" + port + ",'@enabled':'true'},'actionType':'MODIFIED',"
                            + "'metadata':{'box':'" + id + "','zone':'east-hall','kind':'std-3core','cell':'" + cell
                            + "','weight':'2.7'}}")
                    .replace('\'', '"');
        }
    }

    private static final long DELTA_RETENTION_MS = 180_000;

    private final Case owner;
    private final HttpServer server;
    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private long lastAnsweredAtMs;
    private int answers;

    Registry(Case owner) throws IOException {
        this.owner = owner;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        server.createContext("/eureka/apps", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Registers a box that has been up for long. */
    synchronized void register(String id, int port, int cell) {
        instances.put(id, new Instance(id, port, cell, "UP", 0));
    }

    synchronized void setStatus(String id, String status) {
        instances.computeIfPresent(
                id,
                (key, old) -> new Instance(old.id(), old.port(), old.cell(), status, System.currentTimeMillis()));
        owner.record("registry: %s is %s", id, status);
    }

    /** When it last answered, in Unix milliseconds. */
    synchronized long lastAnsweredAtMs() {
        return lastAnsweredAtMs;
    }

    synchronized int answers() {
        return answers;
    }

    private synchronized void handle(HttpExchange exchange) throws IOException {
        boolean delta = exchange.getRequestURI().getPath().endsWith("/delta");
        long now = System.currentTimeMillis();
        Map<String, Integer> counts = new TreeMap<>();
        instances.values().forEach(instance -> counts.merge(instance.status(), 1, Integer::sum));
        String hash = counts.entrySet().stream()
                .map(entry -> entry.getKey() + "_" + entry.getValue() + "_")
                .collect(Collectors.joining());
        String listed = instances.values().stream()
                .filter(instance -> !delta || now - instance.changedAtMs() < DELTA_RETENTION_MS)
                .map(Instance::toJson)
                .collect(Collectors.joining(","));
        byte[] body = ("{\"applications\":{\"versions__delta\":\"1\",\"apps__hashcode\":\"" + hash + "\",\"application\":["
                        + (listed.isEmpty() ? "" : "{\"name\":\"LESSON-BOXES\",\"instance\":[" + listed + "]}") + "]}}")
                .getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
        lastAnsweredAtMs = now;
        answers++;
        owner.record("registry: %s sent, %s", delta ? "delta" : "whole list", hash);
    }

    void stop() {
        server.stop(0);
    }
}
