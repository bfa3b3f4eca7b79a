package org.gooseberryhill.load.slope;

import java.util.List;
import java.util.function.IntToDoubleFunction;

/**
 * A probe whose cost is a function of the size. Immutable.
 *
 * @param name what is measured
 * @param unit the unit of the cost
 * @param varied what is varied
 * @param sizes the sizes
 * @param cost the cost at a size
 */
record MeasuredProbe(String name, String unit, String varied, List<Integer> sizes, IntToDoubleFunction cost)
        implements SlopeProbe {
    @Override
    public double measure(int size) {
        return cost.applyAsDouble(size);
    }
}
