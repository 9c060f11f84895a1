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

/** Hosts instances of the module behind the bench's wire: one line in, one line out. It decides nothing. */
public final class SimHost {
    private static final JsonFactory JSON = new JsonFactory();

    private final Map<String, Director> instances = new LinkedHashMap<>();
    private final Map<Integer, List<Server>> rosters = new HashMap<>();
    private JsonGenerator out;

    private SimHost() {}

    /** Serves batches until the input ends; returns the process's exit status. */
    public static int run(InputStream in, OutputStream to, PrintStream complaints) {
        SimHost link = new SimHost();
        try {
            BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                to.write(link.batch(line).getBytes(StandardCharsets.UTF_8));
                to.flush();
            }
            return 0;
        } catch (JsonProcessingException e) {
            complaints.println("simhost: not JSON: " + e.getOriginalMessage().replace('\n', ' '));
        } catch (JsonFields.InvalidInputException | IllegalArgumentException e) {
            complaints.println("simhost: " + e.getMessage());
        } catch (IOException e) {
            complaints.println("simhost: input or output failed: " + e.getMessage());
        }
        return 1;
    }

    /** Reads the value at the parser's current token: maps, lists, doubles, strings, booleans or null. */
    private static Object read(JsonParser in) throws IOException {
        JsonToken token = in.currentToken();
        if (token == JsonToken.START_OBJECT) {
            Map<String, Object> map = new LinkedHashMap<>();
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                map.put(name, read(in));
            }
            return map;
        }
        if (token == JsonToken.START_ARRAY) {
            List<Object> list = new ArrayList<>();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                list.add(read(in));
            }
            return list;
        }
        if (token == JsonToken.VALUE_STRING) {
            return in.getText();
        }
        if (token == JsonToken.VALUE_NUMBER_INT) {
            return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                    ? (Object) in.getBigIntegerValue().longValue()
                    : (Object) in.getLongValue();
        }
        if (token == JsonToken.VALUE_NUMBER_FLOAT) {
            return in.getDoubleValue();
        }
        if (token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE) {
            return token == JsonToken.VALUE_TRUE;
        }
        if (token == null) {
            throw new JsonFields.InvalidInputException("line ends early");
        }
        return null;
    }

    private String batch(String line) throws IOException {
        JsonFields batch;
        try (JsonParser parser = JSON.createParser(line)) {
            parser.nextToken();
            batch = new JsonFields("batch", read(parser));
        }
        long now = batch.millisAsMicros("now");
        StringWriter reply = new StringWriter();
        out = JSON.createGenerator(reply);
        out.writeStartObject();
        out.writeArrayFieldStart("decisions");
        for (Object arrival : batch.list("arrivals")) {
            for (Object name : new JsonFields("event", arrival).memberNames()) {
                event(now, (String) name, new JsonFields((String) name, ((Map<?, ?>) arrival).get(name)));
            }
        }
        out.writeEndArray();
        out.writeEndObject();
        out.close();
        return reply.append('\n').toString();
    }

    private void event(long now, String name, JsonFields e) {
        if (name.equals("roster")) {
            rosters.put(e.integer("ref"), servers(e));
            return;
        }
        String id = e.text("director_id");
        switch (name) {
            case "boot" ->
                instances.put(
                        id,
                        new Choice(
                                SettingsReader.read(e.object("options")),
                                e.longInteger("entropy"),
                                new ActionWriter(id)));
            case "halt" -> instances.remove(id);
            default -> {
                Director d = instances.get(id);
                if (d == null) {
                    throw new JsonFields.InvalidInputException(
                            name + ": member 'director_id' names no instance that runs");
                }
                deliver(now, name, e, d);
            }
        }
    }

    private void deliver(long now, String name, JsonFields e, Director d) {
        switch (name) {
            case "view" -> {
                ListScope scope = scope(e.text("scope"));
                List<Server> list = scope == ListScope.ERROR ? List.of() : rosters.get(e.integer("ref"));
                if (list == null) {
                    throw new JsonFields.InvalidInputException("view: member 'ref' names no roster");
                }
                d.serversChanged(now, scope, list);
            }
            case "call" -> d.request(now, request(e));
            case "already_open" -> d.adoptSession(now, request(e), e.text("node"));
            case "opened" -> d.sessionStarted(now, e.text("call"), e.integer("n"), e.text("node"));
            case "note" -> {
                Metric topic =
                        switch (e.integer("topic")) {
                            case 1 -> Metric.DELIVERED;
                            case 2 -> Metric.RENDITION;
                            case 3 -> Metric.LINK;
                            case 4 -> Metric.UPLINK;
                            default -> null;
                        };
                if (topic != null) {
                    d.metricReceived(now, e.text("call"), e.text("node"), topic, e.number("x"));
                }
            }
            case "ended" ->
                d.outcome(
                        now,
                        e.text("call"),
                        e.integer("n"),
                        e.text("node"),
                        outcome(e.integer("status")),
                        e.flag("final"),
                        report(e));
            case "timed_out_client" -> d.requestCancelled(now, e.text("call"));
            case "alarm" -> d.timer(now, e.text("key_back"));
            case "health" -> d.probed(now, e.text("node"), e.integer("status") == 100, report(e));
            case "datagram" -> d.peerMessageReceived(now, e.integer("author"), e.hexBytes("bytes"));
            default -> throw new JsonFields.InvalidInputException("unknown event '" + name + "'");
        }
    }

    private static Request request(JsonFields e) {
        return new Request(
                e.text("call"),
                e.text("kind"),
                e.text("target_key", ""),
                e.text("asset", ""),
                e.millisAsMicros("budget", 0),
                e.millisAsMicros("cost_guess", 0),
                e.integer("home", 0),
                e.integer("cells_in_row", 0),
                e.integer("ceiling_rung", 0),
                e.flag("is_retry"),
                e.flag("back_from_move"),
                e.flag("came_back"));
    }

    private static LoadReport report(JsonFields e) {
        return e.has("usage") ? new LoadReport(e.numbers("usage")) : LoadReport.NONE;
    }

    private static List<Server> servers(JsonFields e) {
        List<Server> out = new ArrayList<>();
        for (Object each : e.list("rows_in")) {
            JsonFields row = new JsonFields("roster.rows_in", each);
            State state =
                    switch (row.text("status")) {
                        case "up" -> State.UP;
                        case "draining" -> State.DRAINING;
                        case "removed" -> State.GONE;
                        default ->
                            throw new JsonFields.InvalidInputException("roster.rows_in: member 'status' is unknown");
                    };
            out.add(new Server(
                    row.text("node"),
                    row.text("az", ""),
                    row.text("generation_hw", ""),
                    row.integer("place", 0),
                    state,
                    row.number("weight", 1),
                    row.millisAsMicros("up_since", 0)));
        }
        return out;
    }

    private static ListScope scope(String word) {
        return switch (word) {
            case "diff" -> ListScope.CHANGES;
            case "snapshot" -> ListScope.SNAPSHOT;
            case "disk" -> ListScope.DISK;
            case "error" -> ListScope.ERROR;
            default -> throw new JsonFields.InvalidInputException("view: member 'scope' is unknown: " + word);
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
            default -> throw new JsonFields.InvalidInputException("ended: member 'status' is unknown: " + code);
        };
    }

    /** Writes one instance's actions into the reply of the batch in hand. */
    private final class ActionWriter implements Director.Actions {
        private interface FieldsWriter {
            void write() throws IOException;
        }

        private final String instance;

        ActionWriter(String instance) {
            this.instance = instance;
        }

        private void action(String name, FieldsWriter body) {
            try {
                out.writeStartObject();
                out.writeObjectFieldStart(name);
                out.writeStringField("director_id", instance);
                body.write();
                out.writeEndObject();
                out.writeEndObject();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        private void millis(String name, long micros) throws IOException {
            out.writeNumberField(name, micros / 1000.0);
        }

        @Override
        public void send(String request, String server, long allow) {
            action("submit_to", () -> {
                out.writeStringField("call", request);
                out.writeStringField("node", server);
                millis("allow_for", allow);
            });
        }

        @Override
        public void refuse(String request, long comeBack) {
            action("turn_away", () -> {
                out.writeStringField("call", request);
                millis("come_back", comeBack);
            });
        }

        @Override
        public void fail(String request) {
            action("respond_error", () -> out.writeStringField("call", request));
        }

        @Override
        public void setRendition(String request, int rung) {
            action("step_to", () -> {
                out.writeStringField("call", request);
                out.writeNumberField("rung", rung);
            });
        }

        @Override
        public void move(String request) {
            action("bounce", () -> out.writeStringField("call", request));
        }

        @Override
        public void probe(String server) {
            action("check", () -> out.writeStringField("node", server));
        }

        @Override
        public void broadcast(byte[] message) {
            action("share", () -> {
                out.writeNullField("target");
                out.writeStringField("bytes", HexFormat.of().formatHex(message));
            });
        }

        @Override
        public void timer(String key, long at) {
            action("timer", () -> {
                out.writeStringField("key_back", key);
                millis("moment", at);
            });
        }
    }
}
