package org.gooseberryhill.decision.share;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Computes max-min fair shares by weight: those who ask for less than their share get what they ask for, and the others divide the rest
 * by their weights. Stateless.
 */
final class FairLevel {
    private FairLevel() {}

    /**
     * Returns the rate for each unit of weight; infinite if all demands can be met.
     *
     * @param total the rate that can be divided
     */
    static double of(List<Demand> demands, double total) {
        List<Demand> ascending = new ArrayList<>(demands);
        ascending.sort(Comparator.comparingDouble(Demand::level));
        double weightLeft = ascending.stream().mapToDouble(Demand::weight).sum();
        double left = total;
        for (Demand demand : ascending) {
            if (demand.perSecond > left * demand.weight / weightLeft) {
                return left / weightLeft;
            }
            left -= demand.perSecond;
            weightLeft -= demand.weight;
        }
        return Double.POSITIVE_INFINITY;
    }

    /** Returns the rate for each unit of weight that accounts with half of the weight do not exceed. */
    static double typical(List<Demand> demands) {
        List<Demand> ascending = new ArrayList<>(demands);
        ascending.sort(Comparator.comparingDouble(Demand::level));
        double half = ascending.stream().mapToDouble(Demand::weight).sum() / 2;
        double weight = 0;
        for (Demand demand : ascending) {
            weight += demand.weight;
            if (weight >= half) {
                return demand.level();
            }
        }
        return 0;
    }

    /**
     * What one account asks for.
     *
     * @param weight its weight; above 0
     */
    record Demand(double perSecond, double weight) {
        double level() {
            return perSecond / weight;
        }
    }
}
