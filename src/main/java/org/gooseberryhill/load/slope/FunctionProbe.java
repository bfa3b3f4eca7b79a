package org.gooseberryhill.load.slope;

import java.util.List;
import java.util.function.IntToDoubleFunction;

/**
 * A probe that obtains the cost from a function of the size. Immutable.
 *
 * @param name the name of the cost
 * @param unit the unit of the cost
 * @param variedQuantity the quantity that the size counts
 * @param sizes the sizes at which to measure
 * @param cost returns the cost at a size
 */
record FunctionProbe(String name, String unit, String variedQuantity, List<Integer> sizes, IntToDoubleFunction cost)
        implements SlopeProbe {
    @Override
    public double measure(int size) {
        return cost.applyAsDouble(size);
    }
}
