package dockshed.scale;

import java.util.List;

/**
 * The run of one mechanism on sockets.
 *
 * @param brokers   number of brokers in the fleet
 * @param real      how many of them were real
 * @param hollow    how many of them were hollow
 * @param processes number of processes that ran brokers
 * @param results   the scenes' figures in the order played
 */
record ScaleRun(Mechanism mechanism, int brokers, int real, int hollow, int processes, List<SceneResult> results) {}
