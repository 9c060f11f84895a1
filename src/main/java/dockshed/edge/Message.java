package dockshed.edge;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A message between broker and edge server, sent as one JSON object per line.
 *
 * @param type   what the message is, such as {@code setup} or {@code answer}
 * @param id     of the session that the message is about
 * @param fields further values by name; numbers, booleans and null as written in the JSON text
 * @param cause  why a session or attempt ends; -1 if absent
 * @param sdp    the session description; null if absent
 */
record Message(String type, String id, Map<String, String> fields, int cause, String sdp) {
    /** A line is not a message of this form. */
    static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedMessageException(String why) {
            super(why);
        }
    }

    /** Parses one line without its line end. Unknown members are ignored. */
    static Message parse(String line) throws MalformedMessageException {
        return new JsonReader(line).readMessage();
    }

    /** The message as one line of JSON, with its line feed. */
    String encode() {
        StringBuilder out = new StringBuilder(96 + (sdp == null ? 0 : sdp.length()));
        out.append("{\"type\":");
        appendQuoted(out, type);
        appendQuoted(out.append(",\"id\":"), id);
        out.append(",\"fields\":{");
        String comma = "";
        for (Map.Entry<String, String> field : fields.entrySet()) {
            appendQuoted(out.append(comma), field.getKey());
            appendQuoted(out.append(':'), field.getValue());
            comma = ",";
        }
        out.append('}');
        if (cause >= 0) {
            out.append(",\"cause\":").append(cause);
        }
        if (sdp != null) {
            appendQuoted(out.append(",\"sdp\":"), sdp);
        }
        return out.append("}\n").toString();
    }

    /** Appends a JSON string; surrogates are escaped so that unpaired ones survive UTF-8. */
    private static void appendQuoted(StringBuilder out, String text) {
        out.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            switch (c) {
                case '"', '\\' -> out.append('\\').append(c);
                case '\r' -> out.append("\\r");
                case '\n' -> out.append("\\n");
                case '\t' -> out.append("\\t");
                default -> {
                    if (c < ' ' || Character.isSurrogate(c)) {
                        out.append(String.format("\\u%04x", (int) c));
                    } else {
                        out.append(c);
                    }
                }
            }
        }
        out.append('"');
    }

    /** A JSON parser for what messages need: objects, strings and numbers; other values are skipped. */
    private static final class JsonReader {
        /** Deeper values are refused, as skipping them recurses. */
        private static final int MAX_NESTING_DEPTH = 16;

        private final String input;
        private int position;

        JsonReader(String input) {
            this.input = input;
        }

        /** Reads the whole input as one message. */
        Message readMessage() throws MalformedMessageException {
            String[] strings = new String[3];
            int[] cause = {-1};
            Map<String, String> fields = new LinkedHashMap<>();
            readObject(key -> {
                switch (key) {
                    case "type" -> strings[0] = readString();
                    case "id" -> strings[1] = readString();
                    case "sdp" -> strings[2] = peek() == '"' ? readString() : skipValue(null);
                    case "cause" -> cause[0] = parseCause(readScalar());
                    case "fields" ->
                        readObject(name -> {
                            if (peek() == '{' || peek() == '[') {
                                skipValue(null);
                            } else {
                                fields.put(name, readScalar());
                            }
                        });
                    default -> skipValue(null);
                }
            });
            skipSpace();
            if (position != input.length()) {
                throw new MalformedMessageException("expected the end of the line after the object, got more text");
            }
            if (strings[0] == null || strings[1] == null) {
                throw new MalformedMessageException("member 'type' or 'id' is missing");
            }
            return new Message(strings[0], strings[1], fields, cause[0], strings[2]);
        }

        /** Reads the value of one member of an object. */
        private interface MemberReader {
            void read(String key) throws MalformedMessageException;
        }

        private void readObject(MemberReader memberReader) throws MalformedMessageException {
            expect('{');
            if (peek() == '}') {
                position++;
                return;
            }
            while (true) {
                peek();
                String key = readString();
                expect(':');
                peek();
                memberReader.read(key);
                if (peek() == '}') {
                    position++;
                    return;
                }
                expect(',');
            }
        }

        /** Skips a value and returns null, for use as an expression; the argument only selects this overload. */
        private String skipValue(Object ignored) throws MalformedMessageException {
            skipValue(0);
            return null;
        }

        private void skipValue(int depth) throws MalformedMessageException {
            if (depth > MAX_NESTING_DEPTH) {
                throw new MalformedMessageException("values nested deeper than the limit");
            }
            if (peek() == '{') {
                readObject(key -> skipValue(depth + 1));
            } else if (peek() == '[') {
                position++;
                if (peek() == ']') {
                    position++;
                    return;
                }
                skipValue(depth + 1);
                while (peek() == ',') {
                    position++;
                    skipValue(depth + 1);
                }
                expect(']');
            } else {
                readScalar();
            }
        }

        /** The text of a string; a number, true, false or null as written. */
        private String readScalar() throws MalformedMessageException {
            if (peek() == '"') {
                return readString();
            }
            int start = position;
            while (position < input.length() && ",}] \t\r\n".indexOf(input.charAt(position)) < 0) {
                position++;
            }
            String token = input.substring(start, position);
            if (!token.matches("true|false|null|-?[0-9]+(\\.[0-9]+)?([eE][-+]?[0-9]+)?")) {
                throw new MalformedMessageException("expected a value at position " + start);
            }
            return token;
        }

        private static int parseCause(String number) throws MalformedMessageException {
            try {
                return Math.max(0, (int) Double.parseDouble(number));
            } catch (NumberFormatException e) {
                throw new MalformedMessageException("member 'cause' is not a number");
            }
        }

        private String readString() throws MalformedMessageException {
            expect('"');
            StringBuilder out = new StringBuilder();
            while (position < input.length()) {
                char next = input.charAt(position++);
                if (next == '"') {
                    return out.toString();
                }
                if (next < ' ') {
                    throw new MalformedMessageException("control character in a string");
                }
                if (next != '\\') {
                    out.append(next);
                    continue;
                }
                char escape = position < input.length() ? input.charAt(position++) : ' ';
                switch (escape) {
                    case '"', '\\', '/' -> out.append(escape);
                    case 'b' -> out.append('\b');
                    case 'f' -> out.append('\f');
                    case 'n' -> out.append('\n');
                    case 'r' -> out.append('\r');
                    case 't' -> out.append('\t');
                    case 'u' -> out.append(readHexEscape());
                    default -> throw new MalformedMessageException("unknown escape sequence in a string");
                }
            }
            throw new MalformedMessageException("string without a closing quote");
        }

        private char readHexEscape() throws MalformedMessageException {
            int code = 0;
            for (int i = 0; i < 4; i++) {
                int digit = position < input.length() ? Character.digit(input.charAt(position++), 16) : -1;
                if (digit < 0) {
                    throw new MalformedMessageException("expected four hex digits after \\u");
                }
                code = code * 16 + digit;
            }
            return (char) code;
        }

        private void skipSpace() {
            while (position < input.length() && " \t\r\n".indexOf(input.charAt(position)) >= 0) {
                position++;
            }
        }

        /** Skips space and returns the next character without consuming it; 0 at the end of the input. */
        private char peek() {
            skipSpace();
            return position < input.length() ? input.charAt(position) : 0;
        }

        private void expect(char expected) throws MalformedMessageException {
            if (peek() != expected) {
                throw new MalformedMessageException("expected '" + expected + "' at position " + position);
            }
            position++;
        }
    }
}
