package org.gooseberryhill.load.slope;

import java.lang.management.ManagementFactory;
import java.util.function.Supplier;

/** Measures the live heap that an object graph takes, by the heap in use after collections. Stateless. */
final class LiveHeap {
    private static final int COLLECTIONS = 3;

    private LiveHeap() {}

    /** The bytes that stay in use while what the supplier builds is held. */
    static double bytesOf(Supplier<Object> builder) {
        long before = usedBytes();
        Object held = builder.get();
        long after = usedBytes();
        if (held.hashCode() == Integer.MIN_VALUE) {
            throw new IllegalStateException("keeps the object reachable until here");
        }
        return Math.max(0, after - before);
    }

    private static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            ManagementFactory.getMemoryMXBean().gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
