package dockshed.fleet;

import java.util.OptionalDouble;

/**
 * What one measurement of control traffic gave. Seconds are of virtual time; a delay is empty where its limit passed first.
 *
 * @param sentBytes         a second and broker
 * @param sentBytesMost     a second, of the broker that sends most
 * @param receivedBytes     a second and broker
 * @param receivedBytesMost a second, of the broker that receives most
 * @param datagrams         sent a second and broker
 * @param coreShare         of a core and broker, the simulated network included
 * @param networkShare      of that, what the simulated network takes alone
 * @param allocatedBytes    a second and broker, the simulated network included
 * @param heapBytes         a broker, in use once garbage is collected, the simulated network included
 * @param entriesHeld       a broker, mean
 * @param figureAgeMean     seconds since the load figures held of a peer were written
 * @param figureAgeP99      the same, that 99 in 100 are within
 * @param figuresMissing    part of the peers of which no load figures are held
 * @param otherAgeMean      seconds since the figures held of another zone were written; empty where there are no zones
 * @param otherAgeP99       the same, that 99 in 100 are within
 * @param reportMedian      seconds until 99 in 100 peers know of a health report, median of several
 * @param reportMost        the same, of the slowest
 * @param reportsReached    part of the reports that reached 99 in 100 within the limit
 * @param failureKnown      seconds until no survivor counts a killed broker as present, a seventh killed at once
 * @param falseDeaths       times that a broker that ran was called dead by another
 */
public record ControlFigures(
        double sentBytes,
        double sentBytesMost,
        double receivedBytes,
        double receivedBytesMost,
        double datagrams,
        double coreShare,
        double networkShare,
        double allocatedBytes,
        double heapBytes,
        double entriesHeld,
        double figureAgeMean,
        double figureAgeP99,
        double figuresMissing,
        OptionalDouble otherAgeMean,
        OptionalDouble otherAgeP99,
        OptionalDouble reportMedian,
        OptionalDouble reportMost,
        double reportsReached,
        OptionalDouble failureKnown,
        int falseDeaths) {}
