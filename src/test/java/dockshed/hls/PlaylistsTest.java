package dockshed.hls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.hls.Playlists.MultivariantPlaylist;
import dockshed.hls.Playlists.UnusablePlaylistException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.UniqueElements;
import org.junit.jupiter.api.Test;

/** Rewriting of playlists for a session. */
class PlaylistsTest {
    private static final URI BASE = URI.create("http://127.0.0.1:9/lessons/t/master.m3u8");
    private static final String LADDER = """
            #EXTM3U
            #EXT-X-VERSION:4
            #EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID="gu",NAME="Gujarati, plain",URI="audio/gu.m3u8"
            #EXT-X-MEDIA:TYPE=VIDEO,GROUP-ID="tiny",NAME="tiny",URI="tiny/alt.m3u8"
            #EXT-X-SESSION-KEY:METHOD=AES-128,URI="key.bin"
            #EXT-X-STREAM-INF:BANDWIDTH=900000,CODECS="avc1,mp4a",AUDIO="gu"
            mid/index.m3u8
            #EXT-X-STREAM-INF:AVERAGE-BANDWIDTH=1,BANDWIDTH=200000,VIDEO="tiny",AUDIO="gu"
            low/index.m3u8
            #EXT-X-I-FRAME-STREAM-INF:BANDWIDTH=50000,URI="low/iframes.m3u8"
            #EXT-X-STREAM-INF:BANDWIDTH=2000000,AUDIO="gu"
            top/index.m3u8
            """;

    private static String rewrite(int lowest, int highest) throws UnusablePlaylistException {
        return MultivariantPlaylist.parse(LADDER)
                .rewrite(lowest, highest, BASE, number -> "/sessions/s/" + number + ".m3u8");
    }

    @Test
    void onlyGrantedVariantsAreListedInAnyOrder() throws Exception {
        assertEquals("""
                #EXTM3U
                #EXT-X-VERSION:4
                #EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID="gu",NAME="Gujarati, plain",URI="/sessions/s/0.m3u8"
                #EXT-X-SESSION-KEY:METHOD=AES-128,URI="http://127.0.0.1:9/lessons/t/key.bin"
                #EXT-X-STREAM-INF:BANDWIDTH=900000,CODECS="avc1,mp4a",AUDIO="gu"
                /sessions/s/2.m3u8
                """, rewrite(1, 1));
        assertFalse(rewrite(1, 4).contains("BANDWIDTH=200000,") || rewrite(1, 4).contains("tiny"));
        assertTrue(rewrite(1, 4).contains("2000000"));
        assertTrue(rewrite(0, 0).contains("tiny"));
    }

    @Test
    void rewriteFailsIfNoVariantIsGranted() throws Exception {
        String single = "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=7\na.m3u8\n";
        assertFalse(MultivariantPlaylist.parse(single).hasVariant(1, 4));
        assertThrows(
                UnusablePlaylistException.class,
                () -> MultivariantPlaylist.parse(single).rewrite(1, 4, BASE, n -> "x"));
    }

    @Test
    void renditionNoLongerGrantedIsReplacedByTheBestBelowIt() throws Exception {
        MultivariantPlaylist playlist = MultivariantPlaylist.parse(LADDER);
        assertEquals(4, playlist.substitute(4, 1, 2), "granted, so not replaced");
        assertEquals(2, playlist.substitute(4, 1, 1), "highest requested, middle granted");
        assertEquals(-1, playlist.substitute(3, 1, 2), "lowest is not granted, and there is none below it");
        assertEquals(0, playlist.substitute(0, 1, 1), "audio belongs to no rendition");
    }

    @Test
    void malformedMultivariantPlaylistsAreRejected() {
        for (String malformed : List.of(
                "",
                "x",
                "#EXTM3U\n",
                "#EXTM3U\n#EXTINF:4,\na.ts\n",
                "#EXTM3U\n#EXT-X-STREAM-INF:CODECS=\"x\"\na\n",
                "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\n",
                "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=-1\na\n",
                "#EXTM3U\n#EXT-X-STREAM-INF:X=\"BANDWIDTH=1\na\n")) {
            assertThrows(UnusablePlaylistException.class, () -> MultivariantPlaylist.parse(malformed), malformed);
        }
    }

    @Test
    void playlistsOfLineBreaksOnlyAreUnusable() {
        // Guards against a player that is never answered: reading such a playlist failed with an unexpected exception.
        for (String blank : List.of("\n", "\r\n", "\n\n\r\n\n")) {
            assertThrows(UnusablePlaylistException.class, () -> Playlists.rewriteMediaPlaylist(blank, BASE));
            assertThrows(UnusablePlaylistException.class, () -> MultivariantPlaylist.parse(blank));
            assertEquals(0, Playlists.playDurationUs(blank));
        }
    }

    /** Whatever an edge server sends, it is rewritten or unusable. */
    @Property(seed = "20261207", tries = 3000)
    void anyTextIsRewrittenOrUnusable(@ForAll @Size(max = 12) List<@IntRange(max = 19) Integer> parts) {
        List<String> fragments = List.of(
                "#EXTM3U",
                "\n",
                "\r\n",
                "\r",
                " ",
                "#EXT-X-STREAM-INF:",
                "#EXT-X-MEDIA:",
                "#EXT-X-I-FRAME-STREAM-INF:",
                "#EXTINF:",
                "#EXT-X-TARGETDURATION:",
                "#EXT-X-ENDLIST",
                "BANDWIDTH=",
                "URI=",
                "\"",
                "TYPE=AUDIO,GROUP-ID=\"g\",",
                ",",
                "9",
                "a.m3u8",
                "http://[",
                "\u0000");
        StringBuilder text = new StringBuilder("#EXTM3U\n".repeat(parts.size() % 2));
        parts.forEach(part -> text.append(fragments.get(part)));
        assertTrue(Playlists.playDurationUs(text.toString()) >= 0);
        try {
            assertTrue(Playlists.rewriteMediaPlaylist(text.toString(), BASE).startsWith("#EXTM3U"));
        } catch (UnusablePlaylistException e) {
            assertFalse(e.getMessage().isEmpty());
        }
        try {
            MultivariantPlaylist playlist = MultivariantPlaylist.parse(text.toString());
            assertTrue(playlist.rewrite(0, 9, BASE, number -> "n").startsWith("#EXTM3U"));
        } catch (UnusablePlaylistException e) {
            assertFalse(e.getMessage().isEmpty());
        }
    }

    @Test
    void mediaPlaylistUrisAreMadeAbsolute() throws Exception {
        String text = "#EXTM3U\n#EXT-X-TARGETDURATION:4\n#EXT-X-MAP:URI=\"init.mp4\",BYTERANGE=\"1@0\"\n"
                + "#EXTINF:4.0,\r\nseg 1.ts\n".replace(" ", "") + "#EXTINF:2.5,\n/abs/2.ts\n#EXT-X-ENDLIST\n";
        URI base = URI.create("http://127.0.0.1:9/lessons/t/low/index.m3u8");
        String rewritten = Playlists.rewriteMediaPlaylist(text, base);
        assertTrue(
                rewritten.contains("#EXT-X-MAP:URI=\"http://127.0.0.1:9/lessons/t/low/init.mp4\",BYTERANGE=\"1@0\"\n"));
        assertTrue(rewritten.contains("\nhttp://127.0.0.1:9/lessons/t/low/seg1.ts\n"));
        assertTrue(rewritten.contains("\nhttp://127.0.0.1:9/abs/2.ts\n"));
        assertEquals(6_500_000, Playlists.playDurationUs(text));
        assertEquals(12_000_000, Playlists.playDurationUs(text.replace("#EXT-X-ENDLIST", "")));
        assertThrows(
                UnusablePlaylistException.class,
                () -> Playlists.rewriteMediaPlaylist("#EXTM3U\n#EXTINF:1,\nhttp://[\n", base));
        assertThrows(UnusablePlaylistException.class, () -> Playlists.rewriteMediaPlaylist(LADDER, base));
    }

    /** For any bandwidths in any order, exactly the variants from the lowest to the highest granted are listed. */
    @Property(seed = "20261201", tries = 500)
    void everyListedVariantIsWithinTheGrant(
            @ForAll @Size(min = 1, max = 7) @UniqueElements List<@IntRange(min = 1, max = 9) Integer> bandwidths,
            @ForAll @IntRange(max = 3) int lowest,
            @ForAll @IntRange(max = 3) int steps)
            throws Exception {
        StringBuilder text = new StringBuilder("#EXTM3U\n");
        bandwidths.forEach(bandwidth -> text.append("#EXT-X-STREAM-INF:BANDWIDTH=")
                .append(bandwidth)
                .append("\n")
                .append(bandwidth)
                .append("\n"));
        List<Integer> ladder = new ArrayList<>(bandwidths);
        ladder.sort(null);
        MultivariantPlaylist playlist = MultivariantPlaylist.parse(text.toString());
        assertEquals(lowest < bandwidths.size(), playlist.hasVariant(lowest, lowest + steps));
        if (lowest < bandwidths.size()) {
            List<Integer> listed = playlist.rewrite(lowest, lowest + steps, BASE, n -> "n")
                    .lines()
                    .filter(line -> line.startsWith("#EXT-X-STREAM-INF"))
                    .map(line -> Integer.valueOf(line.split("=")[1]))
                    .sorted()
                    .toList();
            assertEquals(ladder.subList(lowest, Math.min(lowest + steps + 1, ladder.size())), listed);
        }
    }
}
