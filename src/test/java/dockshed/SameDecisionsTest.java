package dockshed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against changed decisions in a change that should not affect them: the log of all actions of each scripted day
 * must have the recorded hash. A change that is meant to decide differently records new hashes, in a commit that says
 * so.
 */
class SameDecisionsTest {
    private static final long SECOND_US = DirectorFixture.SECOND_US;

    /** The settings of one day and the recorded hash of its log. */
    private record Golden(String hash, Consumer<ScriptedDay> settings) {}

    /** The scripted days by name. */
    private static final Map<String, Golden> DAYS = new LinkedHashMap<>();

    private static void day(String name, String hash, Consumer<ScriptedDay> settings) {
        DAYS.put(name, new Golden(hash, settings));
    }

    static {
        day("alone, much room", "a22becbf13c1a907990b98a2", day -> {
            day.brokers = 1;
            day.arrivalsPerSecond = 1.5;
            day.foreignShare = 0.1;
            day.seconds = 300;
        });
        day("three directors", "eb59e55c83be0e881cd4536a", day -> {
            day.arrivalsPerSecond = 2;
            day.servers = 14;
            day.linksCollapse = true;
            day.seconds = 200;
        });
        day("overload", "a771353d346512232aa66cf8", day -> {
            day.arrivalsPerSecond = 14;
            day.foreignShare = 0.6;
            day.failureShare = 0.15;
            day.attemptsWindow = 5 * SECOND_US;
        });
        day("overload of many classes, lengths known", "cb2e2cb49a5b368affc2e2a9", day -> {
            day.classes = ScriptedDay.manyClasses();
            day.arrivalsPerSecond = 12;
            day.knownLength = true;
            day.brokers = 2;
            day.meanStaySeconds = 60;
        });
        day("uplinks reported", "83fe96d3bef9c35122ff4b95", day -> {
            day.reportsUplink = true;
            day.linksCollapse = true;
            day.uplinkKb = 20_000;
            day.arrivalsPerSecond = 3;
            day.foreignShare = 0.3;
            day.seconds = 240;
            day.classes = ScriptedDay.manyClasses();
        });
        day("uplinks short and not reported", "b71aedc28c3df26f809aca21", day -> {
            day.brokers = 2;
            day.uplinkKb = 12_000;
            day.arrivalsPerSecond = 8;
            day.foreignShare = 0.2;
            day.racks = 3;
            day.servers = 9;
        });
        day("handshakes have a price", "ede778deea45889114338f3f", day -> {
            day.handshake = 0.05;
            day.servers = 24;
            day.brokers = 14;
            day.racks = 4;
        });
        day("a hundred directors, uplinks reported", "3496e86f508d40fb4766ebc6", day -> {
            day.brokers = 100;
            day.reportsUplink = true;
            day.foreignShare = 0.95;
            day.openAtStart = 12;
            day.handshake = 0.02;
            day.arrivalsPerSecond = 2;
            day.failureShare = 0.2;
            day.seconds = 240;
        });
        day("sessions open at the start", "4ce91f6c6ec47db4d649a5d5", day -> {
            day.openAtStart = 40;
            day.arrivalsPerSecond = 6;
            day.seed = 5;
        });
        day("cold servers, few directors", "1ba3653037949056d36a9b6f", day -> {
            day.coldStart = true;
            day.restarts = true;
            day.streams = 60;
            day.arrivalsPerSecond = 8;
        });
        day("cold servers, many directors", "9bbef5b94f949c0db26df873", day -> {
            day.coldStart = true;
            day.restarts = true;
            day.brokers = 36;
            day.reportsUplink = true;
            day.streams = 30;
            day.arrivalsPerSecond = 6;
            day.failureShare = 0.1;
        });
        day("cold servers with a price of handshakes and no fall", "4762542745cd899881438080", day -> {
            day.coldStart = true;
            day.restarts = true;
            day.brokers = 9;
            day.overloadWindow = 0;
            day.handshake = 0.04;
        });
        day("a pace limit from outside", "7f77e3f18fe743d3e9d33cf6", day -> {
            day.coldStart = true;
            day.restarts = true;
            day.pacesServers = true;
            day.avoidsServers = true;
            day.newSessionShare = 0.5;
            day.retriesAlwaysAllowed = false;
            day.failureShare = 0.2;
        });
        day("reserves of few slots", "14cb501f5d1e233105bd03cf", day -> {
            day.linkKb = 30_000;
            day.uplinkKb = 1_000_000;
            day.foreignShare = 0.7;
            day.servers = 3;
            day.arrivalsPerSecond = 10;
            day.brokers = 1;
            day.meanStaySeconds = 40;
        });
        day("reserves of many slots", "63728d1d0c180afee262359b", day -> {
            day.linkKb = 300_000;
            day.uplinkKb = 3_000_000;
            day.streams = 140;
            day.servers = 2;
            day.foreignShare = 0.9;
            day.arrivalsPerSecond = 12;
            day.brokers = 1;
            day.meanStaySeconds = 40;
            day.seconds = 60;
        });
        day("servers of unlike weights, readings rare", "906efeb887a4737b4013dc3f", day -> {
            day.differentWeights = true;
            day.reportInterval = SECOND_US / 4;
            day.failureShare = 0.3;
            day.attemptsWindow = 2 * SECOND_US;
            day.cells = 2;
        });
        day("uplinks that all but fail, sessions past their estimated length", "2e25c7f234c3514abd3d6f42", day -> {
            day.uplinkKb = 5_000;
            day.foreignShare = 0.15;
            day.racks = 4;
            day.brokers = 2;
            day.knownLength = true;
            day.arrivalsPerSecond = 3;
            day.openAtStart = 30;
            day.seconds = 240;
        });
        day("links that give next to nothing", "f729051aee90bb9ab87bfcf1", day -> {
            day.linksCollapse = true;
            day.collapsedShare = 0.02;
            day.brokers = 1;
            day.arrivalsPerSecond = 1;
            day.foreignShare = 0.02;
            day.failureShare = 0.2;
            day.attemptsWindow = SECOND_US / 4;
            day.knownLength = true;
            day.seconds = 300;
        });
        day("one rack, weak links", "aa5b1df2ebe902af3d8be356", day -> {
            day.racks = 1;
            day.linkKb = 2_000;
            day.linksCollapse = true;
            day.arrivalsPerSecond = 6;
            day.foreignShare = 0.1;
            day.classes = ScriptedDay.manyClasses();
            day.brokers = 7;
        });
    }

    @TestFactory
    Stream<DynamicTest> eachDayHasTheHashThatItHad() {
        return DAYS.entrySet().stream()
                .map(entry -> DynamicTest.dynamicTest(entry.getKey(), () -> {
                    ScriptedDay day = new ScriptedDay();
                    entry.getValue().settings().accept(day);
                    assertEquals(entry.getValue().hash(), hash(day.play().log));
                }));
    }

    @TestFactory
    Stream<DynamicTest> eachDayHoldsDecisionsOfEveryKind() {
        return DAYS.entrySet().stream()
                .map(entry -> DynamicTest.dynamicTest(entry.getKey(), () -> {
                    ScriptedDay day = new ScriptedDay();
                    entry.getValue().settings().accept(day);
                    day.play();
                    for (String action : List.of("send", "rate", "refuse", "fail")) {
                        assertTrue(day.count(action) >= 5, action + " " + day.count(action));
                    }
                }));
    }

    private static String hash(List<String> log) throws Exception {
        MessageDigest digest = MessageDigest.getInstance("SHA-256");
        for (String line : log) {
            digest.update((line + "\n").getBytes(StandardCharsets.UTF_8));
        }
        return HexFormat.of().formatHex(digest.digest(), 0, 12);
    }

    /** Prints the hash and the number of actions of each day; the argument is the number of seeds, 1 without one. */
    public static void main(String[] args) throws Exception {
        int seeds = args.length == 0 ? 1 : Integer.parseInt(args[0]);
        for (Map.Entry<String, Golden> entry : DAYS.entrySet()) {
            for (int seed = 0; seed < seeds; seed++) {
                ScriptedDay day = new ScriptedDay();
                entry.getValue().settings().accept(day);
                day.seed += 1000L * seed;
                day.play();
                System.out.printf(
                        "%s %s send=%d rate=%d refuse=%d fail=%d%n",
                        hash(day.log),
                        entry.getKey(),
                        day.count("send"),
                        day.count("rate"),
                        day.count("refuse"),
                        day.count("fail"));
            }
        }
    }
}
