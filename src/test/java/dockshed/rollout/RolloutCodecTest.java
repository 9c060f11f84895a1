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

/**
 * Guards the codec against truncated, oversized and forged messages, and against rejecting those of a later program.
 */
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
        for (RolloutMessage message : messages()) {
            byte[] body = RolloutCodec.write(message);
            assertTrue(body.length <= RolloutNode.MAX_BODY_BYTES);
            assertEquals(message, RolloutCodec.read(body));
        }
        byte[] bytes = new byte[RolloutCodec.CHUNK_BYTES];
        Arrays.fill(bytes, (byte) 3);
        byte[] body = RolloutCodec.write(new RolloutMessage.Chunk(6, 9, Configuration.MAX_BYTES, 1, bytes));
        assertTrue(body.length <= RolloutNode.MAX_BODY_BYTES);
        assertArrayEquals(bytes, ((RolloutMessage.Chunk) RolloutCodec.read(body)).bytes());
        Announcement announcement = new Announcement(ConfigurationId.MAX_VERSION, -1, 7, true);
        assertTrue(RolloutCodec.write(announcement).length <= RolloutNode.MAX_ANNOUNCEMENT_BYTES);
        assertEquals(announcement, RolloutCodec.readAnnouncement(RolloutCodec.write(announcement)));
    }

    @Test
    void truncatedAndTooLongMessagesAreMalformedAndThoseOfALaterProgramPassedOver() throws Exception {
        for (RolloutMessage message : messages()) {
            byte[] body = RolloutCodec.write(message);
            for (int length = 0; length < body.length; length++) {
                byte[] cut = Arrays.copyOf(body, length);
                assertThrows(MalformedException.class, () -> RolloutCodec.read(cut), message + " at " + length);
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
    void aNodeToleratesAnyBytesAndCountsThem() {
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
                        throw new AssertionError("a forged configuration was applied: " + c);
                    }
                },
                (at, event) -> {});
        List<byte[]> valid = messages().stream().map(RolloutCodec::write).toList();
        long now = 0;
        for (int i = 0; i < 50_000; i++) {
            byte[] body = valid.get(random.nextInt(valid.size())).clone();
            for (int change = random.nextInt(4); change >= 0; change--) {
                body[random.nextInt(body.length)] = (byte) random.nextInt(256);
            }
            int from = random.nextInt(-1, 7);
            node.receive(now, from, Arrays.copyOf(body, random.nextInt(260)));
            node.receive(now, from, valid.get(random.nextInt(valid.size()))); // at a rate beyond the allowance
            node.receiveAnnouncement(now, from, Arrays.copyOf(body, random.nextInt(26)));
            now += 500;
            node.tick(now);
        }
        assertTrue(node.counts().malformed > 0 && node.counts().passedOver > 0 && node.counts().overAllowance > 0);
        assertEquals(null, node.status(now).inForce());
    }
}
