package dockshed.simhost;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The members of one JSON object, read by name and type; a complaint names the event and the member. */
final class Fields {
    /** A line or member that does not keep to the wire. */
    static final class Malformed extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    private final String owner;
    private final Map<?, ?> members;

    Fields(String owner, Object value) {
        this.owner = owner;
        if (!(value instanceof Map<?, ?> map)) {
            throw new Malformed(owner + ": not an object");
        }
        this.members = map;
    }

    /** Reads the value at the parser's current token: maps, lists, doubles, strings, booleans or null. */
    static Object read(JsonParser in) throws IOException {
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
                    ? (Object) in.getBigIntegerValue().longValue() : (Object) in.getLongValue();
        }
        if (token == JsonToken.VALUE_NUMBER_FLOAT) {
            return in.getDoubleValue();
        }
        if (token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE) {
            return token == JsonToken.VALUE_TRUE;
        }
        if (token == null) {
            throw new Malformed("line ends early");
        }
        return null;
    }

    boolean has(String name) {
        return members.get(name) != null;
    }

    Iterable<?> names() {
        return members.keySet();
    }

    Object value(String name) {
        Object value = members.get(name);
        if (value == null) {
            throw new Malformed(owner + ": member '" + name + "' is missing");
        }
        return value;
    }

    private <T> T typed(String name, Class<T> type) {
        Object value = value(name);
        if (!type.isInstance(value)) {
            throw new Malformed(owner + ": member '" + name + "' has the wrong type");
        }
        return type.cast(value);
    }

    String text(String name) {
        return typed(name, String.class);
    }

    String text(String name, String absent) {
        return has(name) ? text(name) : absent;
    }

    double number(String name) {
        return typed(name, Number.class).doubleValue();
    }

    double number(String name, double absent) {
        return has(name) ? number(name) : absent;
    }

    long whole(String name) {
        return typed(name, Number.class).longValue();
    }

    int integer(String name) {
        return (int) number(name);
    }

    int integer(String name, int absent) {
        return has(name) ? integer(name) : absent;
    }

    byte[] bytes(String name) {
        try {
            return HexFormat.of().parseHex(text(name));
        } catch (IllegalArgumentException e) {
            throw new Malformed(owner + ": member '" + name + "' is not hex");
        }
    }

    boolean flag(String name) {
        return has(name) && typed(name, Boolean.class);
    }

    /** A time on the wire, in milliseconds, as microseconds. */
    long micros(String name) {
        return Math.round(number(name) * 1000);
    }

    long micros(String name, long absent) {
        return has(name) ? micros(name) : absent;
    }

    Fields object(String name) {
        return new Fields(owner + "." + name, value(name));
    }

    List<?> list(String name) {
        return typed(name, List.class);
    }

    List<Double> numbers(String name) {
        List<Double> out = new ArrayList<>();
        for (Object each : list(name)) {
            if (!(each instanceof Number n)) {
                throw new Malformed(owner + ": member '" + name + "' has the wrong type");
            }
            out.add(n.doubleValue());
        }
        return out;
    }

    List<String> texts(String name) {
        List<String> out = new ArrayList<>();
        for (Object each : list(name)) {
            if (!(each instanceof String s)) {
                throw new Malformed(owner + ": member '" + name + "' has the wrong type");
            }
            out.add(s);
        }
        return out;
    }
}
