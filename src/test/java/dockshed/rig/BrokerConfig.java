package dockshed.rig;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Configuration file of a broker that runs as a process.
 *
 * @param brokerNumber        number of the broker, from 0
 * @param maxSockets          file descriptors that the broker may use
 * @param peerListenAddress   address at which it listens for datagrams of the other brokers
 * @param peerAddresses       addresses of all brokers, by number
 * @param edgeServerAddresses addresses at which the edge servers listen
 */
public record BrokerConfig(
        int brokerNumber,
        int maxSockets,
        InetSocketAddress peerListenAddress,
        List<InetSocketAddress> peerAddresses,
        List<InetSocketAddress> edgeServerAddresses) {
    private static final String TEMPLATE = "{'name':'n%d','listen':'127.0.0.1:0','seed':'%016x','limits':{'cores':1,"
            + "'memory_mb':192,'sockets':%d},'peer_listen':'127.0.0.1:%d','peers':[%s],'known':{'rev':2,'notices':[{'rev':1,"
            + "'pool':{'complete':true,'members':[%s]}},{'rev':2,'pool':{'complete':false,'members':[]}}]},'settings':{'me':%d,"
            + "'balancers':%d,'zone':'east','classes':["
            + "{'name':'refresher','effect':'idempotent','goal_time':800,'deadline':3000,'points':1},"
            + "{'name':'cert-lesson','effect':'at_most_once','goal_time':1000,'deadline':4000,'points':3}],"
            + "'family_info':{'cabinets':2,'cells':3,'class_scale':[1,1],'class_seats':[0,0],'kind_slots':[110],"
            + "'level_worth':[0.17,0.41,1.0],'lowest_rung':[0,1],'rates_kb':[255,425,706],'top_by_class':[2,2],'uplink_kb':0,"
            + "'weight_kb':300000,'links_kb':900000,'reports_every':1000,'see':50,'stall':7,'switch_cost_s':0.49},"
            + "'invariants':{'warm_up':12000,'cold_from':0.4,'drain_grace':1000,'tip_multiple':2.5,'fall':2000},'kinds':['std'],"
            + "'limits':{'try_limit':5,'connect_timeout':250,'idle_close':30000,'peers':true,'retry_after':true,"
            + "'max_retry_after':2000},'prices':{},'report':{'fields':['busy_reqs','x0']}}}";

    /** Contents of the file. */
    public String toJson() {
        return String.format(
                Locale.ROOT,
                TEMPLATE.replace('\'', '"'),
                brokerNumber,
                brokerNumber + 1,
                maxSockets,
                peerListenAddress.getPort(),
                peerAddresses.stream()
                        .map(address -> "\"127.0.0.1:" + address.getPort() + '"')
                        .collect(Collectors.joining(",")),
                IntStream.range(0, edgeServerAddresses.size())
                        .mapToObj(this::member)
                        .collect(Collectors.joining(",")),
                brokerNumber,
                peerAddresses.size());
    }

    private String member(int index) {
        return String.format(
                        Locale.ROOT,
                        "{'id':'s-%d','host_port':'127.0.0.1:%d',"
                                + "'locality':'east','flavor':'std','cell':%d,'phase':'active','size':1}",
                        index,
                        edgeServerAddresses.get(index).getPort(),
                        index % 3)
                .replace('\'', '"');
    }
}
