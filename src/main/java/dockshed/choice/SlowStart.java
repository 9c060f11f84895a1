package dockshed.choice;

import dockshed.Director.Pace;
import dockshed.Director.Rules;
import dockshed.model.EdgeServer;

/** Slow start: limits the set-ups sent to cold edge servers (rule 4; docs/design/cold-ramp.md). */
record SlowStart(Context context) {
    private static final double MIN_ADMISSION_PROBABILITY = 1e-6; // below it no number is drawn
    private static final double MIN_PICK_PROBABILITY = 1e-9; // avoids a division by 0

    /**
     * Whether a cold server may be sent a set-up. A few brokers each keep to their share of the server's pace; of many
     * brokers each admits at random, so that it is expected to send its share.
     *
     * @param pickProbability the probability that this request goes to the server if it is admitted
     */
    boolean admits(long now, EdgeServer server, double pickProbability) {
        Pace pace = context.actions().pace(server.id());
        if (pace != Pace.UNKNOWN) {
            return pace == Pace.WITHIN;
        }
        Rules rules = context.settings().rules();
        int brokers = context.settings().brokers();
        long sinceSent = now - server.lastSentAt();
        double setUpsPerMicro = server.streams() * server.warmth(now) / Math.max(1, rules.warmUp());
        double budget = rules.overloadMultiple() * setUpsPerMicro * rules.overloadWindow();
        if (budget > 0 && brokers <= budget) {
            return sinceSent * Math.max(1, Math.floor(setUpsPerMicro * rules.overloadWindow() / brokers))
                    >= rules.overloadWindow();
        }
        if (sinceSent * setUpsPerMicro <= Math.min(2, brokers)) {
            return false; // this broker alone would exceed the pace
        }
        // Budget 0: no limit is configured.
        return budget <= 0 || drawAdmission(now, server, pickProbability, Rules.maxMeanSetUps(budget) / brokers);
    }

    /** Admits at random, so that the expected set-ups in the window do not exceed this broker's share. */
    private boolean drawAdmission(long now, EdgeServer server, double pickProbability, double share) {
        double remaining = share - server.expectedSetUps().sum(now);
        double probability = Math.min(1, remaining / Math.max(MIN_PICK_PROBABILITY, pickProbability));
        if (probability < MIN_ADMISSION_PROBABILITY) {
            return false;
        }
        server.expectedSetUps().add(now, probability * pickProbability);
        return context.random().nextDouble() < probability;
    }
}
