package dockshed.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dockshed.Director;
import dockshed.Director.ListScope;
import dockshed.Director.State;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Reading and checking of the configuration files; errors name the key concerned. */
public class ConfigTest {
    /** A complete configuration, which the tests of the program use too. */
    public static final String COMPLETE_CONFIG = """
            {"name":"n3","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,
            "sockets":512},"peer_listen":"127.0.0.1:0","peers":["127.0.0.1:7946"],"peers_all":"127.0.0.1:7947",
            "names":"127.0.0.1:9","known":{"rev":2,"notices":[
            {"rev":1,"pool":{"revision":1,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:5080",
            "locality":"east","flavor":"std","cell":2,"phase":"active","size":4,"up_since_ms":0}]}},
            {"rev":2,"pool":{"revision":2,"complete":false,"members":[{"id":"s-1","host_port":"127.0.0.1:5080",
            "locality":"east","flavor":"std","cell":2,"phase":"leaving","size":4,"up_since_ms":1500}]}}]},
            "settings":{"balancers":2,"me":0,"zone":"east","classes":[{"deadline":4000.0,"effect":"at_most_once",
            "goal_time":800.0,"name":"paid","points":1.0}],"family_info":{"cabinets":1,"cells":3,"class_scale":[1],
            "class_seats":[0],"kind_slots":[22],"level_worth":[0.2,1.0],"links_kb":9000.0,"lowest_rung":[1],
            "rates_kb":[200.0,900.0],"top_by_class":[1],"uplink_kb":9000.0,"weight_kb":9000.0,"reports_every":3000.0,
            "see":500.0},"invariants":{"warm_up":12000.0,"cold_from":0.4,"drain_grace":1000.0},"kinds":["std"],
            "limits":{"try_limit":3,"connect_timeout":250.0,"idle_close":20000.0,"peers":true},"prices":{},
            "report":{"fields":["busy_reqs","x0"]}}}""";

    private static Config read(String text) {
        return Config.read(Config.parse(text, "config"), Map.of());
    }

    @Test
    void completeFileIsRead() {
        Config config = read(COMPLETE_CONFIG);
        assertEquals("n3", config.name());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(512, config.maxSockets());
        assertEquals(9, config.nameServer().getPort());
        assertEquals(7947, config.allPeersAddress().getPort());
        assertEquals(20_000_000, config.idleTimeout());
        assertEquals(List.of("busy_reqs", "x0"), config.reportFields());
        assertEquals(1_000_000, config.settings().rules().drainGrace());
        assertEquals(1, config.settings().classes().get(0).lowestRendition());
        assertEquals(
                State.DRAINING,
                config.knownServers().get(1).servers().get(0).server().state());
        assertEquals(
                1_500_000,
                config.knownServers().get(1).servers().get(0).server().upSince());
        assertEquals(ListScope.DISK, Config.scope(config.knownServers().get(0), true));
        assertEquals(ListScope.CHANGES, Config.scope(config.knownServers().get(1), false));
        assertEquals(ListScope.SNAPSHOT, Config.scope(config.knownServers().get(0), false));
    }

    @Test
    void absentMembersHaveDefaultsAndTheEnvironmentOverrides() {
        String withoutOptional = COMPLETE_CONFIG
                .replace("\"peer_listen\":\"127.0.0.1:0\",", "")
                .replace("\"peers_all\":\"127.0.0.1:7947\",", "")
                .replace(",\"idle_close\":20000.0", "")
                .replace("\"limits\":{\"cores\":1.0,\"memory_mb\":192,\n\"sockets\":512},", "");
        Config config = Config.read(
                Config.parse(withoutOptional, "config"), Map.of("EDGE_NAME", "n9", "EDGE_LISTEN", "127.0.0.2:80"));
        assertEquals("n9", config.name());
        assertEquals("127.0.0.2", config.listen().getHostString());
        assertNull(config.peerListen());
        assertNull(config.allPeersAddress());
        assertEquals(30_000_000, config.idleTimeout());
        assertEquals(1024, config.maxSockets());
    }

    private static void assertErrorNames(String from, String to, String key) {
        assertTrue(COMPLETE_CONFIG.contains(from), from);
        JsonFields.InvalidInputException e =
                assertThrows(JsonFields.InvalidInputException.class, () -> read(COMPLETE_CONFIG.replace(from, to)), to);
        assertTrue(e.getMessage().contains(key), e.getMessage());
    }

    @Test
    void errorsNameTheKey() {
        assertErrorNames("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"localhost:0\"", "config: member 'listen'");
        assertErrorNames("\"names\":\"127.0.0.1:9\"", "\"names\":\"127.0.0.1\"", "config: member 'names'");
        assertErrorNames("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"soon\"", "'seed'");
        assertErrorNames("\"sockets\":512", "\"sockets\":3", "config.limits: member 'sockets'");
        assertErrorNames(
                "\"phase\":\"leaving\"", "\"phase\":\"odd\"", "config.known.notices.pool.members: member 'phase'");
        assertErrorNames("\"id\":\"s-1\",", "", "config.known.notices.pool.members: member 'id'");
        assertErrorNames("\"try_limit\":3,", "", "config.settings.limits: member 'try_limit'");
        assertErrorNames(
                "\"effect\":\"at_most_once\"", "\"effect\":\"odd\"", "config.settings.classes: member 'effect'");
        assertErrorNames("\"points\":1.0", "\"points\":-1", "member 'points'");
        assertErrorNames(
                "\"deadline\":4000.0", "\"deadline\":0", "goal_time, deadline: expected times over 0 for class paid");
        assertErrorNames("\"lowest_rung\":[1]", "\"lowest_rung\":[2]", "lowest_rung");
        assertErrorNames("\"me\":0", "\"me\":2", "me, balancers: expected me from 0 to balancers - 1");
        assertErrorNames("\"cold_from\":0.4", "\"cold_from\":4", "cold_from");
        assertErrorNames("\"try_limit\":3", "\"try_limit\":0", "try_limit");
        assertErrorNames("\"kind_slots\":[22]", "\"kind_slots\":[0]", "kind_slots: expected 1 or more for kind std");
        String paid =
                "{\"deadline\":4000.0,\"effect\":\"at_most_once\",\n\"goal_time\":800.0,\"name\":\"paid\",\"points\":1.0}";
        assertErrorNames(paid, paid + "," + paid, "config.settings.classes: member 'name' is used twice: paid");
        assertErrorNames("\"lowest_rung\":[1]", "\"lowest_rung\":[]", "'lowest_rung'");
        assertErrorNames("\"peers\":[\"127.0.0.1:7946\"]", "\"peers\":[3]", "config: member 'peers'");
        assertErrorNames("{\"name\"", "{,\"name\"", "config: not JSON");
        assertThrows(JsonFields.InvalidInputException.class, () -> Config.load(Map.of()));
        assertThrows(
                JsonFields.InvalidInputException.class,
                () -> Config.load(Map.of("EDGE_CONFIG", "/nowhere/config.json")));
    }

    @Test
    void classWithoutPointsIsReadAndMayDifferInEachValue() {
        // Guards against a broker that does not start: a customer's configuration has a class without points.
        for (String points : List.of("", ",\"points\":0")) {
            Config config = read(COMPLETE_CONFIG
                    .replace(
                            "\"points\":1.0}",
                            "\"points\":7.0},{\"deadline\":900.0,\"effect\":\"idempotent\","
                                    + "\"goal_time\":300.0,\"name\":\"odd one\"" + points + "}")
                    .replace("\"class_scale\":[1]", "\"class_scale\":[1,0.3]")
                    .replace("\"class_seats\":[0]", "\"class_seats\":[0,9]")
                    .replace("\"lowest_rung\":[1]", "\"lowest_rung\":[1,0]")
                    .replace("\"top_by_class\":[1]", "\"top_by_class\":[1,9]"));
            Director.SessionClass unpaid = config.settings().classes().get(1);
            assertTrue(
                    unpaid.worth() > 0 && unpaid.worth() < 1e-5 && unpaid.highestRendition() == 1, unpaid.toString());
        }
    }

    private static HlsConfig hls(String text) {
        return HlsConfig.read(Config.parse(text, "hls"));
    }

    @Test
    void hlsFileIsReadAndChecked() {
        HlsConfig hlsConfig = hls("{\"listen\":\"127.0.0.1:8080\",\"eureka\":{\"at\":\"127.0.0.1:8761\",\"app\":\"B\"},"
                + "\"servers\":[{\"id\":\"a\",\"host_port\":\"127.0.0.1:9\",\"cell\":2}]}");
        assertEquals(new HlsConfig.Eureka(hlsConfig.eureka().address(), "/eureka", "B", 5_000_000), hlsConfig.eureka());
        assertEquals(20_000_000, hlsConfig.idleTimeout());
        assertEquals(State.UP, hlsConfig.servers().get(0).server().state());
        for (Map.Entry<String, String> bad : Map.of(
                        "{}",
                        "servers",
                        "{\"listen\":1,\"eureka\":{\"at\":\"127.0.0.1:1\",\"app\":\"B\"}}",
                        "'listen'",
                        "{\"listen\":\"127.0.0.1:1\",\"eureka\":{\"at\":\"127.0.0.1:1\"}}",
                        "hls.eureka: member 'app'",
                        "{\"listen\":\"127.0.0.1:1\",\"idle_ms\":5,\"eureka\":{\"at\":\"127.0.0.1:1\",\"app\":\"B\"}}",
                        "'idle_ms'")
                .entrySet()) {
            JsonFields.InvalidInputException e =
                    assertThrows(JsonFields.InvalidInputException.class, () -> hls(bad.getKey()), bad.getKey());
            assertTrue(e.getMessage().contains(bad.getValue()), e.getMessage());
        }
    }

    @Test
    void allowedButRarelyIntendedValuesGiveWarnings() {
        // Guards against mistakes that pass unnoticed: a server without a flavor, behind an uplink smaller than its
        // link, was given a single session.
        HlsConfig hlsConfig =
                hls("{\"listen\":\"127.0.0.1:1\",\"servers\":[{\"id\":\"a\",\"host_port\":\"127.0.0.1:9\"},"
                        + "{\"id\":\"b\",\"host_port\":\"127.0.0.1:9\",\"flavor\":\"std\"}]}");
        assertEquals(1, hlsConfig.warnings(read(COMPLETE_CONFIG).settings()).size());
        String link = COMPLETE_CONFIG.replace("\"weight_kb\":9000.0", "\"weight_kb\":90000.0");
        List<String> both = hlsConfig.warnings(read(link).settings());
        assertEquals(2, both.size());
        assertTrue(both.get(0).contains("server a") && both.get(1).contains("uplink_kb"), both.toString());
        // No uplink at all gives no warning.
        assertEquals(
                1,
                hlsConfig
                        .warnings(read(link.replace("\"uplink_kb\":9000.0", "\"uplink_kb\":0"))
                                .settings())
                        .size());
    }

    @Test
    void deployedHlsFileIsValid() {
        assertEquals("LESSON-BOXES", HlsConfig.load("deploy/hls.json").eureka().app());
    }
}
