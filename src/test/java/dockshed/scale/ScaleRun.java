package dockshed.scale;

import java.util.List;

/**
 * What was played of one mechanism on sockets.
 *
 * @param processes of brokers, the driver not counted
 * @param results   in the order played
 */
record ScaleRun(Mechanism mechanism, int brokers, int real, int hollow, int processes, List<SceneResult> results) {}
