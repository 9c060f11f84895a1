package dockshed.config;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * The members of one JSON object, read by name and type. A getter without a default requires the member. Errors name
 * the object's path and the member.
 */
public final class JsonFields {
    /** Input is missing, of the wrong type or out of range; the message says where. */
    public static final class InvalidInputException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public InvalidInputException(String message) {
            super(message);
        }
    }

    private final String path;
    private final Map<?, ?> members;

    /** Wraps a parsed JSON value, which must be an object; {@code path} is its name in error messages. */
    public JsonFields(String path, Object value) {
        this.path = path;
        if (!(value instanceof Map<?, ?> map)) {
            throw new InvalidInputException(path + ": not an object");
        }
        this.members = map;
    }

    /** Whether a member is present and not null. */
    public boolean has(String name) {
        return members.get(name) != null;
    }

    /** The name of the object in error messages, such as {@code config.settings}. */
    public String path() {
        return path;
    }

    public Iterable<?> memberNames() {
        return members.keySet();
    }

    /** A member of any type. */
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

    public String text(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

    public double number(String name) {
        return typed(name, Number.class).doubleValue();
    }

    public double number(String name, double defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    /** A number, truncated to a {@code long}. */
    public long longInteger(String name) {
        return typed(name, Number.class).longValue();
    }

    /** A number, truncated to an {@code int}. */
    public int integer(String name) {
        return (int) number(name);
    }

    public int integer(String name, int defaultValue) {
        return has(name) ? integer(name) : defaultValue;
    }

    /** Bytes written as hexadecimal digits. */
    public byte[] hexBytes(String name) {
        try {
            return HexFormat.of().parseHex(text(name));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(path + ": member '" + name + "' is not hex");
        }
    }

    /** A boolean; false if the member is absent. */
    public boolean flag(String name) {
        return has(name) && typed(name, Boolean.class);
    }

    /** A time in milliseconds, converted to microseconds. */
    public long millisAsMicros(String name) {
        return Math.round(number(name) * 1000);
    }

    public long millisAsMicros(String name, long defaultValue) {
        return has(name) ? millisAsMicros(name) : defaultValue;
    }

    /** A member that is an object; its path is this object's path and the member's name. */
    public JsonFields object(String name) {
        return new JsonFields(path + "." + name, value(name));
    }

    public List<?> list(String name) {
        return typed(name, List.class);
    }

    public List<Double> numbers(String name) {
        List<Double> values = new ArrayList<>();
        for (Object element : list(name)) {
            if (!(element instanceof Number n)) {
                throw new InvalidInputException(path + ": member '" + name + "' has the wrong type");
            }
            values.add(n.doubleValue());
        }
        return values;
    }

    public List<String> texts(String name) {
        List<String> values = new ArrayList<>();
        for (Object element : list(name)) {
            if (!(element instanceof String s)) {
                throw new InvalidInputException(path + ": member '" + name + "' has the wrong type");
            }
            values.add(s);
        }
        return values;
    }
}
