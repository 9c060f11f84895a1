package dockshed.capacity;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Configuration files of a broker under measurement, with so many slots that no request is refused for lack of them. */
final class TestbedFiles {

    /** The only session class. */
    static final String SESSION_CLASS = "refresher";

    private static final String CONFIG = """
            {"name":"measured","listen":"127.0.0.1:0","seed":"00000000000000a1",
             "limits":{"cores":1,"memory_mb":512,"sockets":%d},
             "known":{"rev":1,"notices":[{"rev":1,"pool":{"complete":true,"members":[%s]}},
               {"rev":2,"pool":{"complete":false,"members":[]}}]},
             "settings":{"me":0,"balancers":1,"zone":"east",
              "classes":[{"name":"refresher","effect":"idempotent","goal_time":800,"deadline":4000,"points":1}],
              "family_info":{"cabinets":2,"cells":3,"class_scale":[1],"class_seats":[0],"kind_slots":[4000],
               "level_worth":[0.17,0.41,1.0],"lowest_rung":[0],"rates_kb":[255,425,706],"top_by_class":[2],
               "uplink_kb":0,"weight_kb":30000000,"links_kb":90000000,"reports_every":1000,"see":50,"stall":7,
               "switch_cost_s":0.49},
              "invariants":{"warm_up":12000,"cold_from":0.4,"drain_grace":1000,"tip_multiple":2.5,"fall":2000},
              "kinds":["std"],
              "limits":{"try_limit":5,"connect_timeout":250,"idle_close":30000,"peers":false,"retry_after":true,
               "max_retry_after":2000},
              "prices":{},"report":{"fields":["busy_reqs","x0"]}}}
            """;

    private static final String MEMBER =
            "{\"id\":\"s-%d\",\"host_port\":\"127.0.0.1:%d\",\"locality\":\"east\",\"flavor\":\"std\",\"cell\":%d,"
                    + "\"phase\":\"active\",\"size\":1}";
    private static final String HLS = "{\"listen\":\"127.0.0.1:0\",\"idle_ms\":120000,\"servers\":[%s]}";
    private static final int CELLS = 3;

    private TestbedFiles() {}

    /**
     * The text of the broker's configuration file.
     *
     * @param maxDescriptors file descriptors that the broker may open
     * @param edgeServers addresses of the edge servers that it knows from the start
     */
    static String config(int maxDescriptors, List<InetSocketAddress> edgeServers) {
        return String.format(Locale.ROOT, CONFIG, maxDescriptors, members(edgeServers));
    }

    /** The text of the HLS front's file, with the addresses of the edge servers that serve playlists. */
    static String hls(List<InetSocketAddress> edgeServers) {
        return String.format(Locale.ROOT, HLS, members(edgeServers));
    }

    private static String members(List<InetSocketAddress> edgeServers) {
        List<String> members = new ArrayList<>();
        for (InetSocketAddress address : edgeServers) {
            int number = members.size();
            members.add(String.format(Locale.ROOT, MEMBER, number, address.getPort(), number % CELLS));
        }
        return String.join(",", members);
    }
}
