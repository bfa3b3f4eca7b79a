package org.gooseberryhill.load.slope;

import java.lang.management.ManagementFactory;
import java.util.function.Supplier;

/** Measures the live heap of an object graph by the heap in use after garbage collections. Stateless. */
final class LiveHeap {
    private static final int GC_RUNS = 3;

    private LiveHeap() {}

    /** Returns by how many bytes the heap in use grows while the supplied object is reachable. */
    static double bytesOf(Supplier<Object> builder) {
        long bytesBefore = usedBytes();
        Object object = builder.get();
        long bytesAfter = usedBytes();
        // Reads the object after the second measurement, so that it stays reachable until then.
        if (object.hashCode() == Integer.MIN_VALUE) {
            throw new IllegalStateException("unexpected hash code of the measured object");
        }
        return Math.max(0, bytesAfter - bytesBefore);
    }

    private static long usedBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            ManagementFactory.getMemoryMXBean().gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
