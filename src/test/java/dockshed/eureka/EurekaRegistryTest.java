package dockshed.eureka;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dockshed.Director.State;
import dockshed.names.ListedServer;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Eureka's answers, whole and by deltas. */
class EurekaRegistryTest {
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

    private static List<String> states(EurekaRegistry r) throws EurekaRegistry.UnusableAnswerException {
        return r.servers("boxes").stream()
                .map(l -> l.server().id() + " " + l.server().state())
                .toList();
    }

    @Test
    void fullListIsRead() throws Exception {
        EurekaRegistry r = new EurekaRegistry();
        r.applyFull(
                apps("OUT_OF_SERVICE_1_UP_1_", instance("a", "UP", "ADDED"), instance("b", "OUT_OF_SERVICE", "ADDED")));
        ListedServer a = r.servers("BOXES").get(0);
        assertEquals(
                "Server[id=a, zone=east, kind=k, cell=2, state=UP, weight=1.5, upSince=5000]",
                a.server().toString());
        assertEquals(9001, a.address().getPort());
        assertEquals(State.DRAINING, r.servers("BOXES").get(1).server().state());
        assertEquals(List.of(), r.servers("OTHERS"));
    }

    @Test
    void listOfOneMayBeASingleObject() throws Exception {
        EurekaRegistry r = new EurekaRegistry();
        r.applyFull("{\"applications\":{\"apps__hashcode\":\"UP_1_\",\"application\":{\"name\":\"BOXES\",\"instance\":"
                + instance("a", "UP", "ADDED") + "}}}");
        assertEquals(List.of("a UP"), states(r));
        r.applyFull("{\"applications\":{\"apps__hashcode\":\"\",\"application\":[]}}");
        assertEquals(List.of(), states(r));
    }

    @Test
    void deltasAddChangeAndRemove() throws Exception {
        EurekaRegistry r = new EurekaRegistry();
        r.applyFull(apps("UP_2_", instance("a", "UP", "ADDED"), instance("b", "UP", "ADDED")));
        r.applyDelta(apps(
                "DOWN_1_UP_1_",
                instance("a", "", "DELETED"),
                instance("b", "DOWN", "MODIFIED"),
                instance("c", "UP", "ADDED")));
        assertEquals(List.of("b DRAINING", "c UP"), states(r));
    }

    @Test
    void deltaWithAWrongHashCodeChangesNothing() throws Exception {
        EurekaRegistry r = new EurekaRegistry();
        r.applyFull(apps("UP_1_", instance("a", "UP", "ADDED")));
        assertThrows(
                EurekaRegistry.UnusableAnswerException.class,
                () -> r.applyDelta(apps("UP_3_", instance("b", "UP", "ADDED"))));
        assertEquals(List.of("a UP"), states(r));
    }

    @Test
    void otherResponsesAreUnusable() {
        for (String bad :
                List.of("", "no", "[]", "{}", "{\"applications\":3}", "{\"applications\":{\"application\":[3]}}")) {
            assertThrows(EurekaRegistry.UnusableAnswerException.class, () -> new EurekaRegistry().applyFull(bad), bad);
        }
        EurekaRegistry r = new EurekaRegistry();
        assertThrows(
                EurekaRegistry.UnusableAnswerException.class,
                () -> {
                    r.applyFull(apps("UP_1_", instance("a", "UP", "ADDED").replace("127.0.0.1", "some.host")));
                    r.servers("BOXES");
                },
                "an address, not a name that the system would have to resolve");
    }
}
