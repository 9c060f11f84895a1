package dockshed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.simhost.SimHost;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The simulator's protocol: events, actions, and errors for malformed input. */
class SimHostTest {
    private static final String BOOT = """
            {"boot":{"director_id":"director/0","entropy":5138197539985895,"later":1,"options":{"balancers":1,"me":0,
            "zone":"z","classes":[{"deadline":4000.0,"effect":"idempotent","goal_time":800.0,"name":"c","points":1.0}],
            "family_info":{"cabinets":1,"cells":3,"class_scale":[1],"class_seats":[0],"kind_slots":[22],
            "level_worth":[0.2,1.0],"links_kb":9000.0,"lowest_rung":[0],"rates_kb":[200.0,900.0],"top_by_class":[1],
            "uplink_kb":9000.0,"weight_kb":9000.0,"reports_every":3000.0,"see":500.0},
            "invariants":{"warm_up":12000.0,"cold_from":0.4},"kinds":["k"],"limits":{"try_limit":3},"prices":{},
            "report":{"fields":["x0","news"]}}}},
            {"roster":{"ref":0,"rows_in":[{"node":"n1","az":"z","generation_hw":"k","place":0,"status":"up","weight":1}]}},
            {"view":{"director_id":"director/0","scope":"disk","epoch":0,"ref":0}}""".replace("\n", "");
    private static final String CALL = "{\"call\":{\"director_id\":\"director/0\",\"call\":\"t/1\",\"kind\":\"c\","
            + "\"target_key\":\"k\",\"asset\":\"a\",\"budget\":4000.0,\"home\":0,\"cells_in_row\":3,\"ceiling_rung\":1}}";

    private String out;
    private String err;

    private int runBatches(String... arrivals) {
        StringBuilder in = new StringBuilder();
        for (String arrival : arrivals) {
            in.append("{\"now\":1000.5,\"arrivals\":[").append(arrival).append("]}\n");
        }
        return runInput(in.toString());
    }

    private int runInput(String in) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        int status = SimHost.run(
                new ByteArrayInputStream(in.getBytes(StandardCharsets.UTF_8)),
                output,
                new PrintStream(errors, true, StandardCharsets.UTF_8));
        out = output.toString(StandardCharsets.UTF_8);
        err = errors.toString(StandardCharsets.UTF_8);
        return status;
    }

    @Test
    void aCallIsAnsweredInItsBatchAndUnknownMembersAreIgnored() {
        assertEquals(0, runBatches("", BOOT, CALL), () -> err);
        String[] lines = out.split("\n");
        assertEquals("{\"decisions\":[]}", lines[0]);
        assertTrue(
                lines[2].contains("\"submit_to\":{\"director_id\":\"director/0\",\"call\":\"t/1\",\"node\":\"n1\""),
                out);
        assertEquals("", err);
    }

    @Test
    void malformedInputNamesTheEventAndTheMember() {
        assertEquals(1, runBatches(BOOT, CALL.replace("\"kind\":\"c\",", "")));
        assertEquals("simhost: call: member 'kind' is missing\n", err);
        assertEquals(1, runBatches(BOOT, CALL.replace("\"budget\":4000.0", "\"budget\":\"long\"")));
        assertEquals("simhost: call: member 'budget' has the wrong type\n", err);
        assertEquals(1, runBatches(BOOT, "{\"surprise\":{\"director_id\":\"director/0\"}}"));
        assertEquals("simhost: unknown event 'surprise'\n", err);
        assertEquals(
                1, runBatches(BOOT, "{\"datagram\":{\"director_id\":\"director/0\",\"author\":1,\"bytes\":\"xyz\"}}"));
        assertEquals("simhost: datagram: member 'bytes' is not hex\n", err);
        assertEquals(1, runInput("not json\n"));
        assertTrue(
                err.startsWith("simhost: not JSON: ")
                        && err.endsWith("\n")
                        && err.lines().count() == 1,
                err);
        assertEquals(1, runBatches(BOOT.replace("\"points\":1.0", "\"points\":-1")));
        assertTrue(err.contains("classes: member 'points'"), err);
        assertEquals(0, runBatches(BOOT.replace("\"points\":1.0", "\"points\":0"), CALL), () -> err);
    }

    @Test
    void instancesActTheSameAloneOrTogether() {
        assertEquals(0, runBatches(BOOT, CALL));
        String alone = out.split("\n")[1];
        String other = BOOT.replace("director/0", "director/1");
        assertEquals(0, runBatches(BOOT + "," + other, CALL.replace("director/0", "director/1"), CALL));
        assertEquals(alone, out.split("\n")[2]);
    }

    @Test
    void endOfInputExitsWithZero() {
        assertEquals(0, runInput(""));
        assertEquals("", out);
    }
}
