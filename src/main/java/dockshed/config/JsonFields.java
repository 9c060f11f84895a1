package dockshed.config;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/** The members of one JSON object, read by name and type; a complaint names the event and the member. */
public final class JsonFields {
    /** A line or member that does not keep to the wire. */
    public static final class InvalidInputException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public InvalidInputException(String message) {
            super(message);
        }
    }

    private final String path;
    private final Map<?, ?> members;

    public JsonFields(String owner, Object value) {
        this.path = owner;
        if (!(value instanceof Map<?, ?> map)) {
            throw new InvalidInputException(owner + ": not an object");
        }
        this.members = map;
    }

    public boolean has(String name) {
        return members.get(name) != null;
    }

    /** What the object is called in complaints. */
    public String path() {
        return path;
    }

    public Iterable<?> memberNames() {
        return members.keySet();
    }

    public Object value(String name) {
        Object value = members.get(name);
        if (value == null) {
            throw new InvalidInputException(path + ": member '" + name + "' is missing");
        }
        return value;
    }

    private <T> T typed(String name, Class<T> type) {
        Object value = value(name);
        if (!type.isInstance(value)) {
            throw new InvalidInputException(path + ": member '" + name + "' has the wrong type");
        }
        return type.cast(value);
    }

    public String text(String name) {
        return typed(name, String.class);
    }

    public String text(String name, String absent) {
        return has(name) ? text(name) : absent;
    }

    public double number(String name) {
        return typed(name, Number.class).doubleValue();
    }

    public double number(String name, double absent) {
        return has(name) ? number(name) : absent;
    }

    public long longInteger(String name) {
        return typed(name, Number.class).longValue();
    }

    public int integer(String name) {
        return (int) number(name);
    }

    public int integer(String name, int absent) {
        return has(name) ? integer(name) : absent;
    }

    public byte[] hexBytes(String name) {
        try {
            return HexFormat.of().parseHex(text(name));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(path + ": member '" + name + "' is not hex");
        }
    }

    public boolean flag(String name) {
        return has(name) && typed(name, Boolean.class);
    }

    /** A time on the wire, in milliseconds, as microseconds. */
    public long millisAsMicros(String name) {
        return Math.round(number(name) * 1000);
    }

    public long millisAsMicros(String name, long absent) {
        return has(name) ? millisAsMicros(name) : absent;
    }

    public JsonFields object(String name) {
        return new JsonFields(path + "." + name, value(name));
    }

    public List<?> list(String name) {
        return typed(name, List.class);
    }

    public List<Double> numbers(String name) {
        List<Double> out = new ArrayList<>();
        for (Object each : list(name)) {
            if (!(each instanceof Number n)) {
                throw new InvalidInputException(path + ": member '" + name + "' has the wrong type");
            }
            out.add(n.doubleValue());
        }
        return out;
    }

    public List<String> texts(String name) {
        List<String> out = new ArrayList<>();
        for (Object each : list(name)) {
            if (!(each instanceof String s)) {
                throw new InvalidInputException(path + ": member '" + name + "' has the wrong type");
            }
            out.add(s);
        }
        return out;
    }
}
