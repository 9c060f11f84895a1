package dockshed.fleet;

import java.util.OptionalDouble;

/**
 * Results of one measurement of control traffic. Seconds are of virtual time; a delay is empty if its limit passed
 * first.
 *
 * @param sentBytes         per second and broker
 * @param sentBytesMost     per second, of the broker that sends the most
 * @param receivedBytes     per second and broker
 * @param receivedBytesMost per second, of the broker that receives the most
 * @param datagrams         sent per second and broker
 * @param coreShare         of a core per broker, the simulated network included
 * @param networkShare      part of {@code coreShare} that the simulated network alone takes, of a core per broker
 * @param allocatedBytes    per second and broker, the simulated network included
 * @param heapBytes         per broker, in use after garbage collection, the simulated network included
 * @param entriesHeld       per broker, mean
 * @param figureAgeMean     seconds since the load figures held of a peer were written
 * @param figureAgeP99      99th percentile of the same
 * @param figuresMissing    part of the peers of which no load figures are held
 * @param otherAgeMean      seconds since the figures held of another zone were written; empty without zones
 * @param otherAgeP99       99th percentile of the same
 * @param reportMedian      seconds until 99 % of the peers know a health report, median of several reports
 * @param reportMost        the same, of the slowest report
 * @param reportsReached    part of the reports that reached 99 % of the peers within the limit
 * @param failureKnown      seconds until no survivor counts a killed broker as present, with a seventh killed at once
 * @param falseDeaths       number of times that a running broker was called dead by another
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
