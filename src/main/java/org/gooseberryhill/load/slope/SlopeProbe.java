package org.gooseberryhill.load.slope;

import java.util.List;

/** Measures a cost at given sizes. Implementations are used by one thread. */
public interface SlopeProbe {
    /** What is measured. */
    String name();

    /** The unit of the cost. */
    String unit();

    /** What is varied. */
    String varied();

    /** The sizes. */
    List<Integer> sizes();

    /** The cost at a size. */
    double measure(int size);
}
