package dockshed.eureka;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dockshed.Director.State;
import dockshed.names.Listing;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Eureka's answers, whole and by deltas. */
class RegistryTest {
    static String instance(String id, String status, String action) {
        return "{\"instanceId\":\"" + id + "\",\"app\":\"BOXES\",\"ipAddr\":\"127.0.0.1\",\"status\":\"" + status
                + "\",\"port\":{\"$\":9001,\"@enabled\":\"true\"},\"actionType\":\"" + action
                + "\",\"leaseInfo\":{\"serviceUpTimestamp\":5},"
                + "\"metadata\":{\"zone\":\"east\",\"kind\":\"k\",\"cell\":\"2\",\"weight\":\"1.5\"}}";
    }

    static String apps(String hash, String... instances) {
        return "{\"applications\":{\"versions__delta\":\"1\",\"apps__hashcode\":\"" + hash
                + "\",\"application\":[{\"name\":\"BOXES\",\"instance\":[" + String.join(",", instances) + "]}]}}";
    }

    private static List<String> states(Registry r) throws Registry.Unfit {
        return r.servers("boxes").stream()
                .map(l -> l.server().id() + " " + l.server().state())
                .toList();
    }

    @Test
    void theWholeListIsRead() throws Exception {
        Registry r = new Registry();
        r.full(apps("OUT_OF_SERVICE_1_UP_1_", instance("a", "UP", "ADDED"), instance("b", "OUT_OF_SERVICE", "ADDED")));
        Listing a = r.servers("BOXES").get(0);
        assertEquals(
                "Server[id=a, zone=east, kind=k, cell=2, state=UP, weight=1.5, upSince=5000]",
                a.server().toString());
        assertEquals(9001, a.at().getPort());
        assertEquals(State.DRAINING, r.servers("BOXES").get(1).server().state());
        assertEquals(List.of(), r.servers("OTHERS"));
    }

    @Test
    void aListOfOneMayStandThereAsTheOne() throws Exception {
        Registry r = new Registry();
        r.full("{\"applications\":{\"apps__hashcode\":\"UP_1_\",\"application\":{\"name\":\"BOXES\",\"instance\":"
                + instance("a", "UP", "ADDED") + "}}}");
        assertEquals(List.of("a UP"), states(r));
        r.full("{\"applications\":{\"apps__hashcode\":\"\",\"application\":[]}}");
        assertEquals(List.of(), states(r));
    }

    @Test
    void deltasAddChangeAndRemove() throws Exception {
        Registry r = new Registry();
        r.full(apps("UP_2_", instance("a", "UP", "ADDED"), instance("b", "UP", "ADDED")));
        r.delta(apps(
                "DOWN_1_UP_1_",
                instance("a", "", "DELETED"),
                instance("b", "DOWN", "MODIFIED"),
                instance("c", "UP", "ADDED")));
        assertEquals(List.of("b DRAINING", "c UP"), states(r));
    }

    @Test
    void aDeltaThatDoesNotAddUpChangesNothing() throws Exception {
        Registry r = new Registry();
        r.full(apps("UP_1_", instance("a", "UP", "ADDED")));
        assertThrows(Registry.Unfit.class, () -> r.delta(apps("UP_3_", instance("b", "UP", "ADDED"))));
        assertEquals(List.of("a UP"), states(r));
    }

    @Test
    void whatIsNotEurekasIsUnfit() {
        for (String bad :
                List.of("", "no", "[]", "{}", "{\"applications\":3}", "{\"applications\":{\"application\":[3]}}")) {
            assertThrows(Registry.Unfit.class, () -> new Registry().full(bad), bad);
        }
        Registry r = new Registry();
        assertThrows(
                Registry.Unfit.class,
                () -> {
                    r.full(apps("UP_1_", instance("a", "UP", "ADDED").replace("127.0.0.1", "some.host")));
                    r.servers("BOXES");
                },
                "an address, not a name that the system would have to resolve");
    }
}
