package dockshed.hls;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntFunction;

/** HLS playlists (RFC 8216) as a session sees them. Text in, text out. */
final class Playlists {
    /** What is no playlist, or none that this session may have. */
    static final class UnusablePlaylistException extends Exception {
        private static final long serialVersionUID = 1L;

        UnusablePlaylistException(String why) {
            super(why);
        }
    }

    /** A line that names a media playlist; {@code rung} is -1 where it belongs to no single rung. */
    record MediaPlaylist(String uri, int rendition) {}

    /** A multivariant playlist taken apart: its lines, and the media playlists that it names by number. */
    static final class MultivariantPlaylist {
        private final List<String> lines;
        private final List<MediaPlaylist> mediaPlaylists = new ArrayList<>();
        private final Map<Integer, Integer> mediaPlaylistByLine = new LinkedHashMap<>();
        private final Map<Integer, Integer> renditionByLine = new LinkedHashMap<>(); // a variant's tag and its URI
        private final Set<Integer> droppedLines = new HashSet<>();

        private MultivariantPlaylist(List<String> lines) {
            this.lines = lines;
        }

        /** Rungs count the distinct bandwidths from the lowest up, in whatever order the variants come. */
        static MultivariantPlaylist parse(String text) throws UnusablePlaylistException {
            MultivariantPlaylist m = new MultivariantPlaylist(lines(text));
            TreeSet<Long> ladder = new TreeSet<>();
            for (String line : m.lines) {
                if (line.startsWith("#EXT-X-STREAM-INF:")) {
                    ladder.add(bandwidth(line));
                }
            }
            if (ladder.isEmpty()) {
                throw new UnusablePlaylistException("no variants");
            }
            List<Long> rates = new ArrayList<>(ladder);
            int pending = -1;
            for (int i = 1; i < m.lines.size(); i++) {
                String line = m.lines.get(i);
                if (line.startsWith("#EXT-X-STREAM-INF:")) {
                    pending = i;
                } else if (line.startsWith("#EXT-X-I-FRAME-STREAM-INF:")) {
                    m.droppedLines.add(i); // belongs to no rung that could be granted
                } else if (line.startsWith("#EXT-X-MEDIA:") && attribute(line, "URI") != null) {
                    m.addMediaPlaylist(i, new MediaPlaylist(attribute(line, "URI"), -1));
                } else if (!line.startsWith("#") && !line.isBlank()) {
                    if (pending < 0) {
                        throw new UnusablePlaylistException("a URI without a variant: not a multivariant playlist");
                    }
                    int rung = rates.indexOf(bandwidth(m.lines.get(pending)));
                    m.renditionByLine.put(pending, rung);
                    m.renditionByLine.put(i, rung);
                    m.addMediaPlaylist(i, new MediaPlaylist(line.strip(), rung));
                    pending = -1;
                }
            }
            if (pending >= 0) {
                throw new UnusablePlaylistException("a variant without a URI");
            }
            return m;
        }

        private void addMediaPlaylist(int line, MediaPlaylist what) {
            mediaPlaylistByLine.put(line, mediaPlaylists.size());
            mediaPlaylists.add(what);
        }

        /** The media playlists named, by number. */
        List<MediaPlaylist> mediaPlaylists() {
            return mediaPlaylists;
        }

        /** Whether a variant lies from {@code floor} to {@code rung}. */
        boolean hasVariant(int floor, int rung) {
            return mediaPlaylists.stream().anyMatch(v -> v.rendition() >= floor && v.rendition() <= rung);
        }

        /** The number of the media playlist to play for one asked for: its own, or the best rung allowed under it. */
        int substitute(int number, int floor, int rung) {
            MediaPlaylist asked = mediaPlaylists.get(number);
            if (asked.rendition() < 0 || asked.rendition() >= floor && asked.rendition() <= rung) {
                return number;
            }
            int best = -1;
            for (int i = 0; i < mediaPlaylists.size(); i++) {
                int r = mediaPlaylists.get(i).rendition();
                if (r >= floor
                        && r <= rung
                        && asked.rendition() > r
                        && (best < 0 || r > mediaPlaylists.get(best).rendition())) {
                    best = i;
                }
            }
            return best;
        }

        /** The text for a session: only variants from {@code floor} to {@code rung}, media playlists renamed. */
        String rewrite(int floor, int rung, URI base, IntFunction<String> rename) throws UnusablePlaylistException {
            if (!hasVariant(floor, rung)) {
                throw new UnusablePlaylistException("no variant from rung " + floor + " to " + rung);
            }
            Set<String> groups = new HashSet<>();
            for (Map.Entry<Integer, Integer> v : renditionByLine.entrySet()) {
                if (v.getValue() >= floor && v.getValue() <= rung) {
                    for (String kind : List.of("VIDEO", "AUDIO", "SUBTITLES", "CLOSED-CAPTIONS")) {
                        groups.add(kind + "=" + attribute(lines.get(v.getKey()), kind));
                    }
                }
            }
            StringBuilder out = new StringBuilder();
            for (int i = 0; i < lines.size(); i++) {
                String line = lines.get(i);
                Integer at = renditionByLine.get(i);
                boolean left = at != null && (at < floor || at > rung)
                        || droppedLines.contains(i)
                        || line.startsWith("#EXT-X-MEDIA:")
                                && !groups.contains(attribute(line, "TYPE") + "=" + attribute(line, "GROUP-ID"));
                if (left) {
                    continue;
                }
                Integer number = mediaPlaylistByLine.get(i);
                if (number != null) {
                    out.append(
                            line.startsWith("#") ? withUriAttribute(line, rename.apply(number)) : rename.apply(number));
                } else {
                    out.append(withAbsoluteUri(line, base));
                }
                out.append('\n');
            }
            return out.toString();
        }
    }

    private Playlists() {}

    /** A media playlist with everything that it names absolute. */
    static String rewriteMediaPlaylist(String text, URI base) throws UnusablePlaylistException {
        List<String> lines = lines(text);
        StringBuilder out = new StringBuilder();
        for (String line : lines) {
            if (line.startsWith("#EXT-X-STREAM-INF:")) {
                throw new UnusablePlaylistException("variants in a media playlist");
            }
            out.append(
                            line.startsWith("#") || line.isBlank()
                                    ? withAbsoluteUri(line, base)
                                    : resolve(base, line.strip()))
                    .append('\n');
        }
        return out.toString();
    }

    /** Microseconds that a player may take with a media playlist: all of it, or three targets where it goes on. */
    static long playDurationUs(String text) {
        double seconds = 0;
        double target = 0;
        boolean whole = false;
        for (String line : text.split("\n")) {
            String value = line.substring(line.indexOf(':') + 1).strip();
            if (line.startsWith("#EXTINF:")) {
                seconds += parseSeconds(value.split(",", 2)[0]);
            } else if (line.startsWith("#EXT-X-TARGETDURATION:")) {
                target = parseSeconds(value);
            }
            whole |= line.startsWith("#EXT-X-ENDLIST");
        }
        return Math.round(Math.min(86_400, whole ? seconds : 3 * target) * 1e6);
    }

    private static double parseSeconds(String value) {
        try {
            return Math.max(0, Double.parseDouble(value.strip()));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static List<String> lines(String text) throws UnusablePlaylistException {
        List<String> lines = List.of(text.split("\r?\n"));
        if (!lines.get(0).equals("#EXTM3U")) {
            throw new UnusablePlaylistException("does not begin with #EXTM3U");
        }
        return lines;
    }

    private static long bandwidth(String line) throws UnusablePlaylistException {
        String value = attribute(line, "BANDWIDTH");
        if (value == null || value.length() > 18 || !value.matches("[0-9]+")) {
            throw new UnusablePlaylistException("a variant without a BANDWIDTH");
        }
        return Long.parseLong(value);
    }

    /** An attribute of a tag's list, without quotes; null where it is absent. Commas in quotes part nothing. */
    static String attribute(String line, String name) {
        int[] span = attributeValueRange(line, name);
        if (span == null) {
            return null;
        }
        String value = line.substring(span[0], span[1]);
        return value.startsWith("\"") ? value.substring(1, value.length() - 1) : value;
    }

    /** Where an attribute's value begins and ends. */
    private static int[] attributeValueRange(String line, String name) {
        int at = line.indexOf(':') + 1;
        while (at > 0 && at < line.length()) {
            int equals = line.indexOf('=', at);
            if (equals < 0) {
                return null;
            }
            int end = equals + 1;
            boolean quoted = end < line.length() && line.charAt(end) == '"';
            if (quoted) {
                end = line.indexOf('"', end + 1) + 1;
                if (end == 0) {
                    return null;
                }
            } else {
                int comma = line.indexOf(',', end);
                end = comma < 0 ? line.length() : comma;
            }
            if (line.substring(at, equals).strip().equals(name)) {
                return new int[] {equals + 1, end};
            }
            int comma = line.indexOf(',', end);
            at = comma < 0 ? line.length() : comma + 1;
        }
        return null;
    }

    private static String withUriAttribute(String line, String uri) {
        int[] span = attributeValueRange(line, "URI");
        return span == null ? line : line.substring(0, span[0]) + '"' + uri + '"' + line.substring(span[1]);
    }

    private static String withAbsoluteUri(String line, URI base) throws UnusablePlaylistException {
        String uri = line.startsWith("#EXT-X-") ? attribute(line, "URI") : null;
        return uri == null || uri.isEmpty() ? line : withUriAttribute(line, resolve(base, uri));
    }

    static String resolve(URI base, String uri) throws UnusablePlaylistException {
        try {
            return base.resolve(uri).toString();
        } catch (IllegalArgumentException e) {
            throw new UnusablePlaylistException("a URI that is none");
        }
    }
}
