package dockshed.choice;

import dockshed.Director.Pace;
import dockshed.Director.Rules;
import dockshed.model.EdgeServer;

/** Slow start of edge servers that are cold (rule 4; docs/design/cold-ramp.md). */
record SlowStart(Context context) {
    private static final double MIN_OPEN_PROBABILITY = 1e-6; // of standing open: not worth a draw
    private static final double MIN_PICK_PROBABILITY = 1e-9; // of a try to go there, so as not to divide by 0

    /**
     * Whether a cold server stands open to a try that would go there with that chance. Few directors keep to their part
     * of its pace; of many, each may be expected to send its part.
     */
    boolean admits(long now, EdgeServer server, double chance) {
        Pace pace = context.actions().pace(server.id());
        if (pace != Pace.UNKNOWN) {
            return pace == Pace.WITHIN;
        }
        Rules rules = context.settings().rules();
        int directors = context.settings().brokers();
        long sinceSent = now - server.lastSentAt();
        double takes = server.streams() * server.warmth(now) / Math.max(1, rules.warmUp());
        double budget = rules.overloadMultiple() * takes * rules.overloadWindow();
        if (budget > 0 && directors <= budget) {
            return sinceSent * Math.max(1, Math.floor(takes * rules.overloadWindow() / directors))
                    >= rules.overloadWindow();
        }
        if (sinceSent * takes <= Math.min(2, directors)) {
            return false; // its own rush
        }
        return budget <= 0
                || drawAdmission(now, server, chance, Rules.maxMeanSetUps(budget) / directors); // 0: no fall is told
    }

    private boolean drawAdmission(long now, EdgeServer server, double chance, double part) {
        double left = part - server.expectedSetUps().sum(now);
        double open = Math.min(1, left / Math.max(MIN_PICK_PROBABILITY, chance));
        if (open < MIN_OPEN_PROBABILITY) {
            return false;
        }
        server.expectedSetUps().add(now, open * chance);
        return context.random().nextDouble() < open;
    }
}
