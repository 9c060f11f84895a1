package dockshed.simhost;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import dockshed.Director;
import dockshed.Director.ListScope;
import dockshed.Director.LoadReport;
import dockshed.Director.Metric;
import dockshed.Director.Outcome;
import dockshed.Director.Request;
import dockshed.Director.Server;
import dockshed.Director.State;
import dockshed.choice.Choice;
import dockshed.config.JsonFields;
import dockshed.config.SettingsReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Hosts instances of the decision module for the simulator: for each line of JSON with a batch of events it writes one
 * line with the resulting actions. It makes no decisions.
 */
public final class SimHost {
    private static final JsonFactory JSON = new JsonFactory();

    private final Map<String, Director> instances = new LinkedHashMap<>();
    private final Map<Integer, List<Server>> serverLists = new HashMap<>();
    private JsonGenerator json; // writes the reply to the current batch

    private SimHost() {}

    /**
     * Handles batches until the input ends; returns the exit status of the process, 1 after invalid input or an I/O
     * error.
     */
    public static int run(InputStream in, OutputStream out, PrintStream errors) {
        SimHost host = new SimHost();
        try {
            BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                out.write(host.handleBatch(line).getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
            return 0;
        } catch (JsonProcessingException e) {
            errors.println("simhost: not JSON: " + e.getOriginalMessage().replace('\n', ' '));
        } catch (JsonFields.InvalidInputException | IllegalArgumentException e) {
            errors.println("simhost: " + e.getMessage());
        } catch (IOException e) {
            errors.println("simhost: input or output failed: " + e.getMessage());
        }
        return 1;
    }

    /** Reads the value at the parser's current token as a map, list, long, double, string, boolean or null. */
    private static Object readValue(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            Map<String, Object> map = new LinkedHashMap<>();
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                map.put(name, readValue(parser));
            }
            return map;
        }
        if (token == JsonToken.START_ARRAY) {
            List<Object> list = new ArrayList<>();
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                list.add(readValue(parser));
            }
            return list;
        }
        if (token == JsonToken.VALUE_STRING) {
            return parser.getText();
        }
        if (token == JsonToken.VALUE_NUMBER_INT) {
            return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                    ? (Object) parser.getBigIntegerValue().longValue()
                    : (Object) parser.getLongValue();
        }
        if (token == JsonToken.VALUE_NUMBER_FLOAT) {
            return parser.getDoubleValue();
        }
        if (token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE) {
            return token == JsonToken.VALUE_TRUE;
        }
        if (token == null) {
            throw new JsonFields.InvalidInputException("expected a JSON value, got the end of the line");
        }
        return null;
    }

    /** Handles the events of a batch in their order; returns the line with the resulting actions. */
    private String handleBatch(String line) throws IOException {
        JsonFields batch;
        try (JsonParser parser = JSON.createParser(line)) {
            parser.nextToken();
            batch = new JsonFields("batch", readValue(parser));
        }
        long now = batch.millisAsMicros("now");
        StringWriter reply = new StringWriter();
        json = JSON.createGenerator(reply);
        json.writeStartObject();
        json.writeArrayFieldStart("decisions");
        for (Object arrival : batch.list("arrivals")) {
            for (Object name : new JsonFields("event", arrival).memberNames()) {
                handleEvent(now, (String) name, new JsonFields((String) name, ((Map<?, ?>) arrival).get(name)));
            }
        }
        json.writeEndArray();
        json.writeEndObject();
        json.close();
        return reply.append('\n').toString();
    }

    private void handleEvent(long now, String name, JsonFields fields) {
        if (name.equals("roster")) {
            serverLists.put(fields.integer("ref"), servers(fields));
            return;
        }
        String id = fields.text("director_id");
        switch (name) {
            case "boot" ->
                instances.put(
                        id,
                        new Choice(
                                SettingsReader.read(fields.object("options")),
                                fields.longInteger("entropy"),
                                new ActionWriter(id)));
            case "halt" -> instances.remove(id);
            default -> {
                Director director = instances.get(id);
                if (director == null) {
                    throw new JsonFields.InvalidInputException(
                            name + ": member 'director_id': expected the id of a running instance");
                }
                deliver(now, name, fields, director);
            }
        }
    }

    private void deliver(long now, String name, JsonFields fields, Director director) {
        switch (name) {
            case "view" -> {
                ListScope scope = scope(fields.text("scope"));
                List<Server> list = scope == ListScope.ERROR ? List.of() : serverLists.get(fields.integer("ref"));
                if (list == null) {
                    throw new JsonFields.InvalidInputException(
                            "view: member 'ref': expected the number of an earlier roster");
                }
                director.serversChanged(now, scope, list);
            }
            case "call" -> director.request(now, request(fields));
            case "already_open" -> director.adoptSession(now, request(fields), fields.text("node"));
            case "opened" ->
                director.sessionStarted(now, fields.text("call"), fields.integer("n"), fields.text("node"));
            case "note" -> {
                Metric metric =
                        switch (fields.integer("topic")) {
                            case 1 -> Metric.DELIVERED;
                            case 2 -> Metric.RENDITION;
                            case 3 -> Metric.LINK;
                            case 4 -> Metric.UPLINK;
                            default -> null;
                        };
                if (metric != null) {
                    director.metricReceived(now, fields.text("call"), fields.text("node"), metric, fields.number("x"));
                }
            }
            case "ended" ->
                director.outcome(
                        now,
                        fields.text("call"),
                        fields.integer("n"),
                        fields.text("node"),
                        outcome(fields.integer("status")),
                        fields.flag("final"),
                        report(fields));
            case "timed_out_client" -> director.requestCancelled(now, fields.text("call"));
            case "alarm" -> director.timer(now, fields.text("key_back"));
            case "health" -> director.probed(now, fields.text("node"), fields.integer("status") == 100, report(fields));
            case "datagram" -> director.peerMessageReceived(now, fields.integer("author"), fields.hexBytes("bytes"));
            default -> throw new JsonFields.InvalidInputException("unknown event '" + name + "'");
        }
    }

    private static Request request(JsonFields fields) {
        return new Request(
                fields.text("call"),
                fields.text("kind"),
                fields.text("target_key", ""),
                fields.text("asset", ""),
                fields.millisAsMicros("budget", 0),
                fields.millisAsMicros("cost_guess", 0),
                fields.integer("home", 0),
                fields.integer("cells_in_row", 0),
                fields.integer("ceiling_rung", 0),
                fields.flag("is_retry"),
                fields.flag("back_from_move"),
                fields.flag("came_back"));
    }

    private static LoadReport report(JsonFields fields) {
        return fields.has("usage") ? new LoadReport(fields.numbers("usage")) : LoadReport.NONE;
    }

    private static List<Server> servers(JsonFields fields) {
        List<Server> servers = new ArrayList<>();
        for (Object entry : fields.list("rows_in")) {
            JsonFields row = new JsonFields("roster.rows_in", entry);
            State state =
                    switch (row.text("status")) {
                        case "up" -> State.UP;
                        case "draining" -> State.DRAINING;
                        case "removed" -> State.GONE;
                        default ->
                            throw new JsonFields.InvalidInputException(
                                    "roster.rows_in: member 'status': expected up, draining or removed");
                    };
            servers.add(new Server(
                    row.text("node"),
                    row.text("az", ""),
                    row.text("generation_hw", ""),
                    row.integer("place", 0),
                    state,
                    row.number("weight", 1),
                    row.millisAsMicros("up_since", 0)));
        }
        return servers;
    }

    private static ListScope scope(String text) {
        return switch (text) {
            case "diff" -> ListScope.CHANGES;
            case "snapshot" -> ListScope.SNAPSHOT;
            case "disk" -> ListScope.DISK;
            case "error" -> ListScope.ERROR;
            default ->
                throw new JsonFields.InvalidInputException(
                        "view: member 'scope': expected diff, snapshot, disk or error, got " + text);
        };
    }

    private static Outcome outcome(int code) {
        return switch (code) {
            case 100 -> Outcome.OK;
            case 301 -> Outcome.ERROR;
            case 302 -> Outcome.FULL;
            case 303 -> Outcome.TIMEOUT;
            case 304 -> Outcome.CONNECT_FAILED;
            case 305 -> Outcome.RESET;
            case 306 -> Outcome.CANCELLED;
            case 307 -> Outcome.MOOT;
            default ->
                throw new JsonFields.InvalidInputException(
                        "ended: member 'status': expected 100 or 301 to 307, got " + code);
        };
    }

    /** Writes the actions of one instance into the reply to the current batch. */
    private final class ActionWriter implements Director.Actions {
        private interface FieldsWriter {
            void write() throws IOException;
        }

        private final String instance;

        ActionWriter(String instance) {
            this.instance = instance;
        }

        private void writeAction(String name, FieldsWriter body) {
            try {
                json.writeStartObject();
                json.writeObjectFieldStart(name);
                json.writeStringField("director_id", instance);
                body.write();
                json.writeEndObject();
                json.writeEndObject();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        private void writeMillis(String name, long micros) throws IOException {
            json.writeNumberField(name, micros / 1000.0);
        }

        @Override
        public void send(String request, String server, long timeLimit) {
            writeAction("submit_to", () -> {
                json.writeStringField("call", request);
                json.writeStringField("node", server);
                writeMillis("allow_for", timeLimit);
            });
        }

        @Override
        public void refuse(String request, long retryAfter) {
            writeAction("turn_away", () -> {
                json.writeStringField("call", request);
                writeMillis("come_back", retryAfter);
            });
        }

        @Override
        public void fail(String request) {
            writeAction("respond_error", () -> json.writeStringField("call", request));
        }

        @Override
        public void setRendition(String request, int rendition) {
            writeAction("step_to", () -> {
                json.writeStringField("call", request);
                json.writeNumberField("rung", rendition);
            });
        }

        @Override
        public void move(String request) {
            writeAction("bounce", () -> json.writeStringField("call", request));
        }

        @Override
        public void probe(String server) {
            writeAction("check", () -> json.writeStringField("node", server));
        }

        @Override
        public void broadcast(byte[] message) {
            writeAction("share", () -> {
                json.writeNullField("target");
                json.writeStringField("bytes", HexFormat.of().formatHex(message));
            });
        }

        @Override
        public void scheduleTimer(String key, long at) {
            writeAction("timer", () -> {
                json.writeStringField("key_back", key);
                writeMillis("moment", at);
            });
        }
    }
}
