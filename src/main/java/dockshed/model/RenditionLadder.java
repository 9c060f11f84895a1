package dockshed.model;

import dockshed.Director.Ladder;
import dockshed.Director.SessionClass;

/** The rate and the worth of each rendition. */
public final class RenditionLadder {
    private final double[] rates;
    private final double[] worths;
    private final double switchSeconds;

    /** Reads the ladder of the settings. */
    public RenditionLadder(Ladder ladder) {
        rates = ladder.rates().stream().mapToDouble(Double::doubleValue).toArray();
        worths = ladder.worths().stream().mapToDouble(Double::doubleValue).toArray();
        switchSeconds = ladder.switchCost() / 1e6;
    }

    /** Number of renditions. */
    public int count() {
        return rates.length;
    }

    /** Cost of a switch, in seconds of playing at the highest worth. */
    public double switchSeconds() {
        return switchSeconds;
    }

    /** Rate of the middle rendition in kB/s. */
    public double middleRateKb() {
        return rates[rates.length / 2];
    }

    /** Rate of a rendition for a class in kB/s. */
    public double rateKb(SessionClass sessionClass, int rendition) {
        return rates[rendition] * sessionClass.rateScale();
    }

    /** What a rendition earns per second, relative to the worth of the class. */
    public double worth(int rendition) {
        return worths[rendition];
    }

    /** What a rendition earns per second after paying {@code price} per kB. */
    public double netWorth(SessionClass sessionClass, int rendition, double price) {
        return sessionClass.worth() * worths[rendition] - price * rateKb(sessionClass, rendition);
    }

    /** The rendition, at most {@code highestRendition}, that earns most at a price per kB. */
    public int bestRendition(SessionClass sessionClass, int highestRendition, double price) {
        int best = sessionClass.lowestRendition();
        for (int rendition = best + 1; rendition <= highestRendition; rendition++) {
            best = netWorth(sessionClass, rendition, price) > netWorth(sessionClass, best, price) ? rendition : best;
        }
        return best;
    }

    /** The rendition that earns most per kB. */
    public int mostEfficientRendition(SessionClass sessionClass) {
        int best = sessionClass.lowestRendition();
        for (int rendition = best + 1; rendition < rates.length; rendition++) {
            best = worths[rendition] / rates[rendition] > worths[best] / rates[best] ? rendition : best;
        }
        return best;
    }
}
