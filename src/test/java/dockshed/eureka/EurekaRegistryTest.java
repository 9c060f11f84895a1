package dockshed.eureka;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dockshed.Director.State;
import dockshed.names.ListedServer;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Full lists and deltas from Eureka. */
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

    private static List<String> states(EurekaRegistry registry) throws EurekaRegistry.UnusableAnswerException {
        return registry.servers("boxes").stream()
                .map(listed -> listed.server().id() + " " + listed.server().state())
                .toList();
    }

    @Test
    void fullListIsRead() throws Exception {
        EurekaRegistry registry = new EurekaRegistry();
        registry.applyFull(
                apps("OUT_OF_SERVICE_1_UP_1_", instance("a", "UP", "ADDED"), instance("b", "OUT_OF_SERVICE", "ADDED")));
        ListedServer first = registry.servers("BOXES").get(0);
        assertEquals(
                "Server[id=a, zone=east, kind=k, cell=2, state=UP, weight=1.5, upSince=5000]",
                first.server().toString());
        assertEquals(9001, first.address().getPort());
        assertEquals(State.DRAINING, registry.servers("BOXES").get(1).server().state());
        assertEquals(List.of(), registry.servers("OTHERS"));
    }

    @Test
    void listOfOneMayBeASingleObject() throws Exception {
        EurekaRegistry registry = new EurekaRegistry();
        registry.applyFull(
                "{\"applications\":{\"apps__hashcode\":\"UP_1_\",\"application\":{\"name\":\"BOXES\",\"instance\":"
                        + instance("a", "UP", "ADDED") + "}}}");
        assertEquals(List.of("a UP"), states(registry));
        registry.applyFull("{\"applications\":{\"apps__hashcode\":\"\",\"application\":[]}}");
        assertEquals(List.of(), states(registry));
    }

    @Test
    void deltasAddChangeAndRemove() throws Exception {
        EurekaRegistry registry = new EurekaRegistry();
        registry.applyFull(apps("UP_2_", instance("a", "UP", "ADDED"), instance("b", "UP", "ADDED")));
        registry.applyDelta(apps(
                "DOWN_1_UP_1_",
                instance("a", "", "DELETED"),
                instance("b", "DOWN", "MODIFIED"),
                instance("c", "UP", "ADDED")));
        assertEquals(List.of("b DRAINING", "c UP"), states(registry));
    }

    @Test
    void deltaWithAWrongHashCodeChangesNothing() throws Exception {
        EurekaRegistry registry = new EurekaRegistry();
        registry.applyFull(apps("UP_1_", instance("a", "UP", "ADDED")));
        assertThrows(
                EurekaRegistry.UnusableAnswerException.class,
                () -> registry.applyDelta(apps("UP_3_", instance("b", "UP", "ADDED"))));
        assertEquals(List.of("a UP"), states(registry));
    }

    @Test
    void faultyInstanceHoldsUpNoOther() throws Exception {
        // Guards against boxes that go down unnoticed, since one faulty value made the whole list unusable.
        EurekaRegistry registry = new EurekaRegistry();
        registry.applyFull(apps("UP_2_", instance("a", "UP", "ADDED"), instance("b", "UP", "ADDED")));
        assertEquals(List.of("a UP", "b UP"), states(registry));
        String faulty = instance("a", "DOWN", "MODIFIED").replace("\"cell\":\"2\"", "\"cell\":\"x\"");
        String neverUsable = instance("c", "UP", "ADDED").replace("127.0.0.1", "some.host");
        registry.applyDelta(apps("DOWN_2_UP_1_", faulty, instance("b", "DOWN", "MODIFIED"), neverUsable));
        assertEquals(List.of("a DRAINING", "b DRAINING"), states(registry));
        assertEquals(2, registry.servers("BOXES").get(0).server().cell(), "as last known");
        registry.applyDelta(apps("DOWN_1_", instance("a", "", "DELETED"), instance("c", "", "DELETED")));
        assertEquals(List.of("b DRAINING"), states(registry));
    }

    @Test
    void otherResponsesAreUnusable() {
        for (String bad :
                List.of("", "no", "[]", "{}", "{\"applications\":3}", "{\"applications\":{\"application\":[3]}}")) {
            assertThrows(EurekaRegistry.UnusableAnswerException.class, () -> new EurekaRegistry().applyFull(bad), bad);
        }
        EurekaRegistry registry = new EurekaRegistry();
        assertThrows(
                EurekaRegistry.UnusableAnswerException.class,
                () -> {
                    registry.applyFull(
                            apps("UP_1_", instance("a", "UP", "ADDED").replace("127.0.0.1", "some.host")));
                    registry.servers("BOXES");
                },
                "only an IP address is accepted: the system would have to resolve a name");
    }
}
