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

/**
 * Rewrites HLS playlists (RFC 8216) for a session, from text to text. A rendition is the index of a variant stream's
 * bandwidth among the distinct bandwidths of its playlist, from the lowest, 0, upwards.
 */
final class Playlists {
    /** The text is not a valid playlist, or holds nothing that the session may be given. */
    static final class UnusablePlaylistException extends Exception {
        private static final long serialVersionUID = 1L;

        UnusablePlaylistException(String why) {
            super(why);
        }
    }

    /**
     * A media playlist named by a multivariant playlist.
     *
     * @param uri as written there, possibly relative
     * @param rendition of its variant stream; -1 if it belongs to no single one, such as an audio track
     */
    record MediaPlaylist(String uri, int rendition) {}

    /** A parsed multivariant playlist. The media playlists that it names are numbered in the order of their lines. */
    static final class MultivariantPlaylist {
        private final List<String> lines;
        private final List<MediaPlaylist> mediaPlaylists = new ArrayList<>();
        private final Map<Integer, Integer> mediaPlaylistByLine = new LinkedHashMap<>();
        /** For the tag and the URI line of each variant. */
        private final Map<Integer, Integer> renditionByLine = new LinkedHashMap<>();
        /** Lines that no session is given. */
        private final Set<Integer> droppedLines = new HashSet<>();

        private MultivariantPlaylist(List<String> lines) {
            this.lines = lines;
        }

        /** Parses a multivariant playlist, whose variants may come in any order. */
        static MultivariantPlaylist parse(String text) throws UnusablePlaylistException {
            MultivariantPlaylist playlist = new MultivariantPlaylist(lines(text));
            TreeSet<Long> bandwidths = new TreeSet<>();
            for (String line : playlist.lines) {
                if (line.startsWith("#EXT-X-STREAM-INF:")) {
                    bandwidths.add(bandwidth(line));
                }
            }
            if (bandwidths.isEmpty()) {
                throw new UnusablePlaylistException("no variant streams: expected at least one #EXT-X-STREAM-INF");
            }
            List<Long> ladder = new ArrayList<>(bandwidths);
            int tagLine = -1;
            for (int i = 1; i < playlist.lines.size(); i++) {
                String line = playlist.lines.get(i);
                if (line.startsWith("#EXT-X-STREAM-INF:")) {
                    tagLine = i;
                } else if (line.startsWith("#EXT-X-I-FRAME-STREAM-INF:")) {
                    playlist.droppedLines.add(i); // I-frame streams belong to no rendition that could be granted
                } else if (line.startsWith("#EXT-X-MEDIA:") && attribute(line, "URI") != null) {
                    playlist.addMediaPlaylist(i, new MediaPlaylist(attribute(line, "URI"), -1));
                } else if (!line.startsWith("#") && !line.isBlank()) {
                    if (tagLine < 0) {
                        throw new UnusablePlaylistException(
                                "not a multivariant playlist: URI without an #EXT-X-STREAM-INF before it");
                    }
                    int rendition = ladder.indexOf(bandwidth(playlist.lines.get(tagLine)));
                    playlist.renditionByLine.put(tagLine, rendition);
                    playlist.renditionByLine.put(i, rendition);
                    playlist.addMediaPlaylist(i, new MediaPlaylist(line.strip(), rendition));
                    tagLine = -1;
                }
            }
            if (tagLine >= 0) {
                throw new UnusablePlaylistException("last #EXT-X-STREAM-INF without a URI after it");
            }
            return playlist;
        }

        private void addMediaPlaylist(int line, MediaPlaylist playlist) {
            mediaPlaylistByLine.put(line, mediaPlaylists.size());
            mediaPlaylists.add(playlist);
        }

        /** The media playlists; the index in the list is the playlist's number. */
        List<MediaPlaylist> mediaPlaylists() {
            return mediaPlaylists;
        }

        /** Whether a variant has a rendition from {@code lowest} to {@code highest}. */
        boolean hasVariant(int lowest, int highest) {
            return mediaPlaylists.stream()
                    .anyMatch(playlist -> playlist.rendition() >= lowest && playlist.rendition() <= highest);
        }

        /**
         * Returns the number of the media playlist to play instead of the one requested: itself if it is allowed,
         * else the best allowed rendition below it, or -1 if there is none.
         */
        int substitute(int number, int lowest, int highest) {
            MediaPlaylist requested = mediaPlaylists.get(number);
            if (requested.rendition() < 0 || requested.rendition() >= lowest && requested.rendition() <= highest) {
                return number;
            }
            int best = -1;
            for (int i = 0; i < mediaPlaylists.size(); i++) {
                int rendition = mediaPlaylists.get(i).rendition();
                if (rendition >= lowest
                        && rendition <= highest
                        && requested.rendition() > rendition
                        && (best < 0 || rendition > mediaPlaylists.get(best).rendition())) {
                    best = i;
                }
            }
            return best;
        }

        /**
         * Returns the playlist with only the variants from {@code lowest} to {@code highest}, and with only the media
         * groups that these use. {@code rename} gives the URI for each media playlist's number; other URIs are made
         * absolute against {@code base}.
         *
         * @throws UnusablePlaylistException if no variant is in the range
         */
        String rewrite(int lowest, int highest, URI base, IntFunction<String> rename) throws UnusablePlaylistException {
            if (!hasVariant(lowest, highest)) {
                throw new UnusablePlaylistException("no variant from rendition " + lowest + " to " + highest);
            }
            Set<String> groups = new HashSet<>();
            for (Map.Entry<Integer, Integer> variant : renditionByLine.entrySet()) {
                if (variant.getValue() >= lowest && variant.getValue() <= highest) {
                    for (String kind : List.of("VIDEO", "AUDIO", "SUBTITLES", "CLOSED-CAPTIONS")) {
                        groups.add(kind + "=" + attribute(lines.get(variant.getKey()), kind));
                    }
                }
            }
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < lines.size(); i++) {
                String line = lines.get(i);
                Integer rendition = renditionByLine.get(i);
                boolean omitted = rendition != null && (rendition < lowest || rendition > highest)
                        || droppedLines.contains(i)
                        || line.startsWith("#EXT-X-MEDIA:")
                                && !groups.contains(attribute(line, "TYPE") + "=" + attribute(line, "GROUP-ID"));
                if (omitted) {
                    continue;
                }
                Integer number = mediaPlaylistByLine.get(i);
                if (number != null) {
                    text.append(
                            line.startsWith("#") ? withUriAttribute(line, rename.apply(number)) : rename.apply(number));
                } else {
                    text.append(withAbsoluteUri(line, base));
                }
                text.append('\n');
            }
            return text.toString();
        }
    }

    private Playlists() {}

    /** Returns a media playlist with all its URIs made absolute. */
    static String rewriteMediaPlaylist(String text, URI base) throws UnusablePlaylistException {
        List<String> lines = lines(text);
        StringBuilder rewritten = new StringBuilder();
        for (String line : lines) {
            if (line.startsWith("#EXT-X-STREAM-INF:")) {
                throw new UnusablePlaylistException("not a media playlist: contains #EXT-X-STREAM-INF");
            }
            rewritten
                    .append(
                            line.startsWith("#") || line.isBlank()
                                    ? withAbsoluteUri(line, base)
                                    : resolve(base, line.strip()))
                    .append('\n');
        }
        return rewritten.toString();
    }

    /**
     * Returns the microseconds for which a player may play from a media playlist before it fetches it again: its whole
     * duration, or three target durations if it is still growing; at most a day.
     */
    static long playDurationUs(String text) {
        double seconds = 0;
        double targetSeconds = 0;
        boolean complete = false;
        for (String line : text.split("\n")) {
            String value = line.substring(line.indexOf(':') + 1).strip();
            if (line.startsWith("#EXTINF:")) {
                seconds += parseSeconds(value.split(",", 2)[0]);
            } else if (line.startsWith("#EXT-X-TARGETDURATION:")) {
                targetSeconds = parseSeconds(value);
            }
            complete |= line.startsWith("#EXT-X-ENDLIST");
        }
        return Math.round(Math.min(86_400, complete ? seconds : 3 * targetSeconds) * 1e6);
    }

    /** Returns 0 for a negative or malformed number. */
    private static double parseSeconds(String value) {
        try {
            return Math.max(0, Double.parseDouble(value.strip()));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Splits a playlist into lines, the first of which must be #EXTM3U. */
    private static List<String> lines(String text) throws UnusablePlaylistException {
        List<String> lines = List.of(text.split("\r?\n")); // empty for a text of line breaks only
        if (lines.isEmpty() || !lines.get(0).equals("#EXTM3U")) {
            throw new UnusablePlaylistException("first line is not #EXTM3U");
        }
        return lines;
    }

    /** Returns the bandwidth of a variant stream in bits per second. */
    private static long bandwidth(String line) throws UnusablePlaylistException {
        String value = attribute(line, "BANDWIDTH");
        if (value == null || value.length() > 18 || !value.matches("[0-9]+")) {
            throw new UnusablePlaylistException("#EXT-X-STREAM-INF without a BANDWIDTH of 1 to 18 digits");
        }
        return Long.parseLong(value);
    }

    /** Returns an attribute of a tag without its quotes, or null. Commas within quotes do not separate attributes. */
    static String attribute(String line, String name) {
        int[] range = attributeValueRange(line, name);
        if (range == null) {
            return null;
        }
        String value = line.substring(range[0], range[1]);
        return value.startsWith("\"") ? value.substring(1, value.length() - 1) : value;
    }

    /** Returns the start and end of an attribute's value, quotes included, or null if the attribute is absent. */
    private static int[] attributeValueRange(String line, String name) {
        int start = line.indexOf(':') + 1;
        while (start > 0 && start < line.length()) {
            int equals = line.indexOf('=', start);
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
            if (line.substring(start, equals).strip().equals(name)) {
                return new int[] {equals + 1, end};
            }
            int comma = line.indexOf(',', end);
            start = comma < 0 ? line.length() : comma + 1;
        }
        return null;
    }

    /** Replaces the value of a tag's URI attribute. */
    private static String withUriAttribute(String line, String uri) {
        int[] range = attributeValueRange(line, "URI");
        return range == null ? line : line.substring(0, range[0]) + '"' + uri + '"' + line.substring(range[1]);
    }

    /** Makes a tag's URI attribute absolute; any other line is returned as it is. */
    private static String withAbsoluteUri(String line, URI base) throws UnusablePlaylistException {
        String uri = line.startsWith("#EXT-X-") ? attribute(line, "URI") : null;
        return uri == null || uri.isEmpty() ? line : withUriAttribute(line, resolve(base, uri));
    }

    /** Returns a URI made absolute against {@code base}. */
    static String resolve(URI base, String uri) throws UnusablePlaylistException {
        try {
            return base.resolve(uri).toString();
        } catch (IllegalArgumentException e) {
            throw new UnusablePlaylistException("malformed URI");
        }
    }
}
