package dockshed.edge;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A message between broker and edge server: one JSON object a line. {@code cause} is -1 and {@code sdp} null where
 * they are absent; values of {@code fields} are kept as they are written.
 */
record Message(String type, String id, Map<String, String> fields, int cause, String sdp) {
    /** A line that is no such message. */
    static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedMessageException(String why) {
            super(why);
        }
    }

    static Message parse(String line) throws MalformedMessageException {
        return new JsonReader(line).readMessage();
    }

    String encode() {
        StringBuilder out = new StringBuilder(96 + (sdp == null ? 0 : sdp.length()));
        out.append("{\"type\":");
        quote(out, type);
        quote(out.append(",\"id\":"), id);
        out.append(",\"fields\":{");
        String comma = "";
        for (Map.Entry<String, String> f : fields.entrySet()) {
            quote(out.append(comma), f.getKey());
            quote(out.append(':'), f.getValue());
            comma = ",";
        }
        out.append('}');
        if (cause >= 0) {
            out.append(",\"cause\":").append(cause);
        }
        if (sdp != null) {
            quote(out.append(",\"sdp\":"), sdp);
        }
        return out.append("}\n").toString();
    }

    private static void quote(StringBuilder out, String text) {
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

    /** Reads JSON as far as messages need it: objects, strings, numbers; other values are passed over. */
    private static final class JsonReader {
        private static final int MAX_NESTING_DEPTH = 16;

        private final String in;
        private int at;

        JsonReader(String in) {
            this.in = in;
        }

        Message readMessage() throws MalformedMessageException {
            String[] text = new String[3];
            int[] cause = {-1};
            Map<String, String> fields = new LinkedHashMap<>();
            object(key -> {
                switch (key) {
                    case "type" -> text[0] = string();
                    case "id" -> text[1] = string();
                    case "sdp" -> text[2] = peek() == '"' ? string() : skip(null);
                    case "cause" -> cause[0] = whole(scalar());
                    case "fields" ->
                        object(name -> {
                            if (peek() == '{' || peek() == '[') {
                                skip(null);
                            } else {
                                fields.put(name, scalar());
                            }
                        });
                    default -> skip(null);
                }
            });
            space();
            if (at != in.length()) {
                throw new MalformedMessageException("text after the object");
            }
            if (text[0] == null || text[1] == null) {
                throw new MalformedMessageException("type or id is missing");
            }
            return new Message(text[0], text[1], fields, cause[0], text[2]);
        }

        private interface MemberReader {
            void read(String key) throws MalformedMessageException;
        }

        private void object(MemberReader each) throws MalformedMessageException {
            expect('{');
            if (peek() == '}') {
                at++;
                return;
            }
            while (true) {
                peek();
                String key = string();
                expect(':');
                peek();
                each.read(key);
                if (peek() == '}') {
                    at++;
                    return;
                }
                expect(',');
            }
        }

        private String skip(Object nothing) throws MalformedMessageException {
            skip(0);
            return null;
        }

        private void skip(int depth) throws MalformedMessageException {
            if (depth > MAX_NESTING_DEPTH) {
                throw new MalformedMessageException("nested too deep");
            }
            if (peek() == '{') {
                object(key -> skip(depth + 1));
            } else if (peek() == '[') {
                at++;
                if (peek() == ']') {
                    at++;
                    return;
                }
                skip(depth + 1);
                while (peek() == ',') {
                    at++;
                    skip(depth + 1);
                }
                expect(']');
            } else {
                scalar();
            }
        }

        /** A string's text; a number, true, false or null as written. */
        private String scalar() throws MalformedMessageException {
            if (peek() == '"') {
                return string();
            }
            int start = at;
            while (at < in.length() && ",}] \t\r\n".indexOf(in.charAt(at)) < 0) {
                at++;
            }
            String word = in.substring(start, at);
            if (!word.matches("true|false|null|-?[0-9]+(\\.[0-9]+)?([eE][-+]?[0-9]+)?")) {
                throw new MalformedMessageException("no value at " + start);
            }
            return word;
        }

        private static int whole(String number) throws MalformedMessageException {
            try {
                return Math.max(0, (int) Double.parseDouble(number));
            } catch (NumberFormatException e) {
                throw new MalformedMessageException("cause is no number");
            }
        }

        private String string() throws MalformedMessageException {
            expect('"');
            StringBuilder out = new StringBuilder();
            while (at < in.length()) {
                char c = in.charAt(at++);
                if (c == '"') {
                    return out.toString();
                }
                if (c < ' ') {
                    throw new MalformedMessageException("control character in a string");
                }
                if (c != '\\') {
                    out.append(c);
                    continue;
                }
                char e = at < in.length() ? in.charAt(at++) : ' ';
                switch (e) {
                    case '"', '\\', '/' -> out.append(e);
                    case 'b' -> out.append('\b');
                    case 'f' -> out.append('\f');
                    case 'n' -> out.append('\n');
                    case 'r' -> out.append('\r');
                    case 't' -> out.append('\t');
                    case 'u' -> out.append(unicode());
                    default -> throw new MalformedMessageException("unknown escape");
                }
            }
            throw new MalformedMessageException("string without an end");
        }

        private char unicode() throws MalformedMessageException {
            int code = 0;
            for (int i = 0; i < 4; i++) {
                int digit = at < in.length() ? Character.digit(in.charAt(at++), 16) : -1;
                if (digit < 0) {
                    throw new MalformedMessageException("bad unicode escape");
                }
                code = code * 16 + digit;
            }
            return (char) code;
        }

        private void space() {
            while (at < in.length() && " \t\r\n".indexOf(in.charAt(at)) >= 0) {
                at++;
            }
        }

        /** The next character that is no space, left in place; 0 at the end. */
        private char peek() {
            space();
            return at < in.length() ? in.charAt(at) : 0;
        }

        private void expect(char c) throws MalformedMessageException {
            if (peek() != c) {
                throw new MalformedMessageException("no '" + c + "' at " + at);
            }
            at++;
        }
    }
}
