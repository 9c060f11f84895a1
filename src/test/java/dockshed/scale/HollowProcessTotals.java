package dockshed.scale;

import java.util.List;

/**
 * The answer of a hollow process to the command {@code totals}.
 *
 * @param totals one entry for each of its brokers
 */
record HollowProcessTotals(List<BrokerTotals> totals) {}
