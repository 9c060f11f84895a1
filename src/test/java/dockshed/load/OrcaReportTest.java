package dockshed.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class OrcaReportTest {
    @Test
    void mostSpecificFieldIsUsed() {
        assertEquals(
                0.4,
                OrcaReport.linkShare("TEXT cpu_utilization=0.9, application_utilization=0.7,"
                                + "named_metrics.link=0.5, utilization.link=0.4")
                        .getAsDouble());
        assertEquals(
                1.25,
                OrcaReport.linkShare("JSON {\"cpu_utilization\":0.3,\"application_utilization\":0.1,"
                                + "\"named_metrics\":{\"link_utilization\":1.25}}")
                        .getAsDouble());
        assertEquals(
                0.7, OrcaReport.linkShare("TEXT application_utilization=7e-1").getAsDouble());
    }

    @Test
    void headersWithoutALinkOrMalformedAreIgnored() {
        for (String bad : List.of(
                "",
                "TEXT",
                "TEXT cpu_utilization=0.9",
                "TEXT utilization.link=NaN",
                "JSON {",
                "TEXT utilization.link=-1",
                "TEXT utilization.link",
                "JSON [1]",
                "JSON {\"utilization\":7}",
                "BIN AAAA",
                "JSON {\"utilization\":{\"link\":{}}}",
                "TEXT utilization.link=Infinity",
                "JSON ",
                "TEXT utilization.link=0.4" + " ".repeat(5000))) {
            assertTrue(OrcaReport.linkShare(bad).isEmpty(), bad);
        }
        assertTrue(OrcaReport.linkShare(null).isEmpty());
    }
}
