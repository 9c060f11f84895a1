package dockshed.scale;

import java.util.List;

/** A hollow process's totals: one entry for each of its brokers. */
record HollowProcessTotals(List<BrokerTotals> totals) {}
