package dockshed.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the bytes of datagrams against changes: brokers of earlier and later program versions run side by side. */
class EnvelopeTest {
    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    @Test
    void kindsOfItemsAndEntriesKeepTheirNumbers() {
        assertEquals(
                List.of(1, 2, 3, 4, 5, 6, 7, 8, 9, 10),
                List.of(
                        Envelope.PING,
                        Envelope.ACK,
                        Envelope.PING_REQUEST,
                        Envelope.MEMBER,
                        Envelope.ENTRY,
                        Envelope.DIGEST,
                        Envelope.VOTE_REQUEST,
                        Envelope.VOTE,
                        Envelope.LEASE_REQUEST,
                        Envelope.LEASE_GRANT));
        assertEquals(
                List.of(1, 2, 3, 4, 5),
                List.of(
                        VersionedEntry.LOAD,
                        VersionedEntry.HEALTH_REPORT,
                        VersionedEntry.LEASE_COORDINATOR,
                        VersionedEntry.STORM_MESSAGE,
                        VersionedEntry.PLANS));
    }

    @Test
    void aDatagramKeepsItsBytes() {
        VersionedEntry entry = new VersionedEntry(
                513, VersionedEntry.HEALTH_REPORT, 0x12345678, 1_700_000_000_123L, 9, 1_000_000L, new byte[] {2});
        List<Envelope.Item> items = List.of(
                new Envelope.BodyWriter().u16(5).item(Envelope.PING),
                new Envelope.BodyWriter().u32(3).u48(1_700_000_000_456L).item(Envelope.VOTE_REQUEST),
                entry.write(1_230_000L));
        assertEquals(
                "f1010102018bcfe569c80000004d01020005070a00000003018bcfe569c8051402010212345678018bcfe5687b00000009000402",
                hex(new Envelope(258, 1_700_000_000_456L, 77, items).write()));
    }

    @Test
    void loadFiguresKeepTheirBytes() {
        double[] demand = new double[SheddingThreshold.PRIORITY_STEPS];
        demand[0] = 12.5;
        demand[9] = 0.3;
        demand[31] = 4000;
        assertEquals("800002010091003c09c400fa0006ffff", hex(new LoadFigures(demand, 7.25, 3, 40_000).write()));
    }
}
