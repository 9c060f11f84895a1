package dockshed.model;

import dockshed.Director.Ladder;
import dockshed.Director.SessionClass;

/** What each rendition asks and earns. */
public final class RenditionLadder {
    private final double[] rates;
    private final double[] worths;
    private final double switchSeconds;

    /** The rates and worths of the settings. */
    public RenditionLadder(Ladder ladder) {
        rates = ladder.rates().stream().mapToDouble(Double::doubleValue).toArray();
        worths = ladder.worths().stream().mapToDouble(Double::doubleValue).toArray();
        switchSeconds = ladder.switchCost() / 1e6;
    }

    /** How many renditions there are. */
    public int count() {
        return rates.length;
    }

    /** What a switch costs, as seconds of playing at the highest worth. */
    public double switchSeconds() {
        return switchSeconds;
    }

    /** The rate of the rendition in the middle. */
    public double middleRateKb() {
        return rates[rates.length / 2];
    }

    /** The rate of a rendition for a class. */
    public double rateKb(SessionClass c, int rendition) {
        return rates[rendition] * c.scale();
    }

    /** What a rendition earns a second over what the class is worth. */
    public double worth(int rendition) {
        return worths[rendition];
    }

    /** What a rendition earns a second after that price of a kB. */
    public double netWorth(SessionClass c, int rendition, double price) {
        return c.worth() * worths[rendition] - price * rateKb(c, rendition);
    }

    /** The rendition up to a top one that earns most at that price of a kB. */
    public int bestRendition(SessionClass c, int top, double price) {
        int best = c.floor();
        for (int r = best + 1; r <= top; r++) {
            best = netWorth(c, r, price) > netWorth(c, best, price) ? r : best;
        }
        return best;
    }

    /** The rendition that earns most a kB. */
    public int mostEfficientRendition(SessionClass c) {
        int best = c.floor();
        for (int r = best + 1; r < rates.length; r++) {
            best = worths[r] / rates[r] > worths[best] / rates[best] ? r : best;
        }
        return best;
    }
}
