package org.gooseberryhill.load.slope;

import java.util.ArrayList;
import java.util.List;

/**
 * A straight line fitted to the measurements of a probe by least squares. Immutable.
 *
 * @param probe the probe
 * @param points the measured costs, in the order of the probe's sizes
 * @param intercept the cost at size 0
 * @param perUnit the increase of the cost when the size grows by one
 * @param worstErrorPercent the largest deviation of a point from the line, in percent of the largest absolute cost
 */
public record LinearFit(
        SlopeProbe probe, List<Double> points, double intercept, double perUnit, double worstErrorPercent) {
    private static final double PERCENT = 100;

    /** Measures the cost at all sizes of a probe and fits the line. */
    public static LinearFit measure(SlopeProbe probe) {
        List<Double> points = new ArrayList<>();
        probe.sizes().forEach(size -> points.add(probe.measure(size)));
        int count = points.size();
        double meanX =
                probe.sizes().stream().mapToInt(Integer::intValue).average().orElse(0);
        double meanY =
                points.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < count; i++) {
            double deviation = probe.sizes().get(i) - meanX;
            covariance += deviation * (points.get(i) - meanY);
            variance += deviation * deviation;
        }
        double perUnit = covariance / variance;
        double intercept = meanY - perUnit * meanX;
        double worstError = 0;
        double largestCost = 0;
        for (int i = 0; i < count; i++) {
            double fitted = intercept + perUnit * probe.sizes().get(i);
            worstError = Math.max(worstError, Math.abs(points.get(i) - fitted));
            largestCost = Math.max(largestCost, Math.abs(points.get(i)));
        }
        return new LinearFit(
                probe, points, intercept, perUnit, largestCost == 0 ? 0 : PERCENT * worstError / largestCost);
    }
}
