package org.gooseberryhill.load.slope;

import java.util.List;

/** Measures a cost at given sizes. Implementations are confined to one thread. */
public interface SlopeProbe {
    /** Returns the name of the cost. */
    String name();

    /** Returns the unit of the cost. */
    String unit();

    /** Returns the quantity that the size counts. */
    String variedQuantity();

    /** Returns the sizes at which to measure. */
    List<Integer> sizes();

    /** Returns the cost at a size. */
    double measure(int size);
}
