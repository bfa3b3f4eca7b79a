package org.gooseberryhill.registration;

import java.util.SplittableRandom;

/** Generates ids that distinguish the process of a host from earlier ones. Stateless. */
public final class ProcessStartIds {
    private ProcessStartIds() {}

    /**
     * Returns an id that no earlier process of this host has, built from the time and a random number. A UUID would also
     * do, but generating its secure random numbers prolongs the time that callers wait for a restarting host.
     */
    public static String next() {
        return Long.toHexString(System.currentTimeMillis()) + "-" + Long.toHexString(new SplittableRandom().nextLong());
    }
}
