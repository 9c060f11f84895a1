package dockshed.rollout;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.rollout.RolloutCodec.MalformedException;
import dockshed.rollout.RolloutCodec.PassedOverException;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RolloutCodecTest {
    private static final ConfigurationId ID = new Configuration(ConfigurationId.MAX_VERSION, new byte[] {1}).id();

    private static List<RolloutMessage> messages() {
        BitSet missing = new BitSet();
        missing.set(0);
        missing.set(RolloutCodec.MAX_CHUNKS - 1);
        return List.of(
                new RolloutMessage.ReportRequest(-7, 12),
                new RolloutMessage.Report(1, VoterPhase.READY, true, 5, List.of()),
                new RolloutMessage.Report(
                        2,
                        VoterPhase.VOTING,
                        false,
                        ID.version(),
                        Collections.nCopies(RolloutMessage.Report.MAX_KNOWN, ID)),
                new RolloutMessage.Proposal(3, 0, ID),
                new RolloutMessage.ChunkRequest(4, 9, ID.digest().prefix(), missing),
                new RolloutMessage.Unavailable(5, 9, true));
    }

    @Test
    void whatIsWrittenIsReadBackAndNoBodyIsTooLong() throws Exception {
        for (RolloutMessage m : messages()) {
            byte[] body = RolloutCodec.write(m);
            assertTrue(body.length <= RolloutNode.MAX_BODY_BYTES);
            assertEquals(m, RolloutCodec.read(body));
        }
        byte[] bytes = new byte[RolloutCodec.CHUNK_BYTES];
        Arrays.fill(bytes, (byte) 3);
        byte[] body = RolloutCodec.write(new RolloutMessage.Chunk(6, 9, Configuration.MAX_BYTES, 1, bytes));
        assertTrue(body.length <= RolloutNode.MAX_BODY_BYTES);
        assertArrayEquals(bytes, ((RolloutMessage.Chunk) RolloutCodec.read(body)).bytes());
        Announcement a = new Announcement(ConfigurationId.MAX_VERSION, -1, 7, true);
        assertTrue(RolloutCodec.write(a).length <= RolloutNode.MAX_ANNOUNCEMENT_BYTES);
        assertEquals(a, RolloutCodec.readAnnouncement(RolloutCodec.write(a)));
    }

    @Test
    void whatIsCutOffOrTooLongIsMalformedAndWhatIsOfALaterProgramPassedOver() throws Exception {
        for (RolloutMessage m : messages()) {
            byte[] body = RolloutCodec.write(m);
            for (int length = 0; length < body.length; length++) {
                byte[] cut = Arrays.copyOf(body, length);
                assertThrows(MalformedException.class, () -> RolloutCodec.read(cut), m + " at " + length);
            }
            assertThrows(MalformedException.class, () -> RolloutCodec.read(Arrays.copyOf(body, body.length + 1)));
            byte[] later = body.clone();
            later[0] = 2;
            assertThrows(PassedOverException.class, () -> RolloutCodec.read(later));
            byte[] unknown = body.clone();
            unknown[1] = 99;
            assertThrows(PassedOverException.class, () -> RolloutCodec.read(unknown));
        }
        assertThrows(MalformedException.class, () -> RolloutCodec.readAnnouncement(new byte[0]));
        assertThrows(MalformedException.class, () -> RolloutCodec.readAnnouncement(new byte[25]));
    }

    @Test
    void aNodeTakesAnyBytesWithoutHarmAndCountsThem() {
        SplittableRandom random = new SplittableRandom(29);
        RolloutNode node = new RolloutNode(
                new RolloutSettings(0, 5, List.of(0, 1, 2)),
                0,
                random.split(),
                (to, body) -> {},
                new MemoryStorage(),
                new ConfigurationApplier() {
                    @Override
                    public Optional<String> validate(Configuration c) {
                        return Optional.empty();
                    }

                    @Override
                    public void apply(Configuration c) {
                        throw new AssertionError("nonsense came in force: " + c);
                    }
                },
                (at, event) -> {});
        List<byte[]> sound = messages().stream().map(RolloutCodec::write).toList();
        long now = 0;
        for (int i = 0; i < 50_000; i++) {
            byte[] body = sound.get(random.nextInt(sound.size())).clone();
            for (int k = random.nextInt(4); k >= 0; k--) {
                body[random.nextInt(body.length)] = (byte) random.nextInt(256);
            }
            int from = random.nextInt(-1, 7);
            node.receive(now, from, Arrays.copyOf(body, random.nextInt(260)));
            node.receive(now, from, sound.get(random.nextInt(sound.size()))); // at a rate that is not answered
            node.receiveAnnouncement(now, from, Arrays.copyOf(body, random.nextInt(26)));
            now += 500;
            node.tick(now);
        }
        assertTrue(node.counts().malformed > 0 && node.counts().passedOver > 0 && node.counts().overAllowance > 0);
        assertEquals(null, node.status(now).inForce());
    }
}
