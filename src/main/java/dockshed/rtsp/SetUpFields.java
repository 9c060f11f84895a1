package dockshed.rtsp;

import dockshed.core.Wish;
import dockshed.net.Headed;
import java.util.HashMap;
import java.util.Map;

/** What a viewer's SETUP says. {@code at}: the server where the session plays already, or null. */
record SetUpFields(Wish wish, String at) {
    private static final String ADDRESS = "rtsp://media/";

    /** Throws IllegalArgumentException where something is missing or no number. */
    static SetUpFields read(Headed m) {
        String session = m.header("session", "");
        if (session.length() != 16 || !session.chars().allMatch(c -> Character.digit(c, 16) >= 0)) {
            throw new IllegalArgumentException("Session is not 16 hex digits");
        }
        if (!m.word(1).startsWith(ADDRESS)) {
            throw new IllegalArgumentException("address names no title");
        }
        Map<String, String> info = pairs(m.header("p-trunk-info", ""));
        Wish wish = new Wish(session, m.header("priority-class", ""), info.getOrDefault("viewer", ""),
                m.word(1).substring(ADDRESS.length()), micros(m, "expires-ms"), micros(m, "expected-ms"),
                integer(info, "home"), integer(info, "copies"), integer(info, "top"),
                m.header("p-repeat", "0").equals("1"), "1".equals(info.get("moved")), "1".equals(info.get("again")),
                m.text());
        String at = info.get("at");
        if (at == null && wish.patience() <= 0) {
            throw new IllegalArgumentException("Expires-Ms is missing");
        }
        return new SetUpFields(wish, at);
    }

    private static Map<String, String> pairs(String list) {
        Map<String, String> out = new HashMap<>();
        for (String pair : list.split(";")) {
            int colon = pair.indexOf(':');
            if (colon > 0) {
                out.put(pair.substring(0, colon).strip(), pair.substring(colon + 1).strip());
            }
        }
        return out;
    }

    private static long micros(Headed m, String header) {
        String value = m.header(header);
        if (value == null) {
            return 0;
        }
        double millis = number(value, header);
        if (!(millis >= 0 && millis < 1e12)) {
            throw new IllegalArgumentException(header + " is out of range");
        }
        return Math.round(millis * 1000);
    }

    private static int integer(Map<String, String> info, String key) {
        String value = info.get(key);
        return value == null ? 0 : (int) number(value, key);
    }

    private static double number(String value, String what) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(what + " is no number");
        }
    }
}
