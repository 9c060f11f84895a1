package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** The configuration of a small deployment, with the settings that the pages show as their example. */
final class Deployment {
    static final int KIND_SLOTS = 53;
    static final double COLD_FROM = 0.4;
    static final long WARM_UP_MS = 12_000;
    static final long FALL_MS = 2_000;
    static final double TIP_MULTIPLE = 2.5;
    static final long DRAIN_GRACE_MS = 1_000;
    static final long PAID_DEADLINE_MS = 4_000;

    /** An edge server in a list; {@code upSinceMs} 0: it started long ago. */
    record Member(String id, int port, int cell, long upSinceMs) {
        String toJson() {
            return quoted(
                    "{'id':'%s','host_port':'127.0.0.1:%d','locality':'east-hall','flavor':'std-3core','cell':%d,"
                            + "'phase':'active','size':2.7,'up_since_ms':%d}",
                    id, port, cell, upSinceMs);
        }
    }

    private Deployment() {}

    /** A loopback port that is free now. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static String quoted(String format, Object... values) {
        return String.format(Locale.ROOT, format, values).replace('\'', '"');
    }

    static String list(List<Member> members) {
        return members.stream().map(Member::toJson).collect(Collectors.joining(","));
    }

    /** The configuration file of broker {@code number} of {@code brokers}. */
    static String config(int number, int brokers, String listen, int nameServerPort, List<Member> known) {
        return quoted(
                "{'name':'n%d','listen':'%s','seed':'8c1f30d27a5be9%02x',"
                        + "'limits':{'cores':1.0,'memory_mb':192,'sockets':1024},'peers':[],'names':'127.0.0.1:%d',"
                        + "'known':{'rev':2,'notices':[{'rev':1,'pool':{'revision':1,'complete':true,'members':[%s]}},"
                        + "{'rev':2,'pool':{'revision':2,'complete':false,'members':[]}}]},"
                        + "'settings':{'balancers':%d,'me':%d,'zone':'east-hall','zones':['east-hall','west-hall'],"
                        + "'classes':[{'name':'refresher','effect':'idempotent','deadline':3000.0,'goal_time':800.0,'points':1.0},"
                        + "{'name':'cert-lesson','effect':'at_most_once','deadline':%d.0,'goal_time':1000.0,'points':3.0},"
                        + "{'name':'audio-guide','effect':'idempotent','deadline':3000.0,'goal_time':1500.0,'points':1.0}],"
                        + "'clients':{'marks_retry':true},'discovery':'pushed',"
                        + "'family_info':{'cabinets':2,'cells':12,'class_scale':[1.0,1.0,0.7],'class_seats':[0,0,0],'guard':0.0,"
                        + "'is_live':[false,false,false],'join':1.0,'kind_slots':[%d],'level_worth':[0.17,0.41,0.62,0.81,1.0],"
                        + "'links_kb':185665.0,'lowest_rung':[0,1,0],'rates_kb':[255.0,425.0,706.0,1174.0,1951.0],"
                        + "'reports_every':2750.0,'see':1359.134,'stall':7.0,'switch_cost_s':0.4867,'top_by_class':[4,4,4],"
                        + "'uplink_kb':61350.0,'weight_kb':4594.0},"
                        + "'invariants':{'cold_from':%.2f,'drain_grace':%d.0,'fall':%d.0,'grace_to_answer':40.0,"
                        + "'tip_multiple':%.2f,'warm_up':%d.0},'kinds':['std-3core'],"
                        + "'limits':{'cancel':true,'connect_timeout':250.0,'idle_close':30000.0,'max_retry_after':2000.0,"
                        + "'peers':false,'probing':false,'retry_after':true,'second_copies':false,'try_limit':5},"
                        + "'prices':{'cross_zone':0.01,'handshake':0.0,'moves':0.077},"
                        + "'report':{'fields':['busy_reqs','x0'],'via':'piggyback'}}}",
                number, listen, number, nameServerPort, list(known).replace('"', '\''), brokers, number, PAID_DEADLINE_MS,
                KIND_SLOTS, COLD_FROM, DRAIN_GRACE_MS, FALL_MS, TIP_MULTIPLE, WARM_UP_MS);
    }
}
