package org.gooseberryhill.load;

import java.util.List;

/**
 * The workload of Easel &amp; Ochre, which holds art classes: tutors request critiques and exercises, in bursts when a
 * class begins, and students make bookings. Immutable.
 */
public final class EaselAndOchreWorkload implements Workload {
    private static final List<RequestKind> KINDS = List.of(
            new RequestKind("critique", 5, false, 800, 40),
            new RequestKind("exercises", 3, false, 300, 60),
            new RequestKind("bookings", 2, true, 0, 0));

    @Override
    public String name() {
        return "easel";
    }

    @Override
    public List<RequestKind> kinds() {
        return KINDS;
    }

    @Override
    public double requestsPerSecond() {
        return 24;
    }

    @Override
    public double burstFactor() {
        return 3.5;
    }

    @Override
    public int itemPromptCharacters() {
        return 1200;
    }

    @Override
    public int itemTokens() {
        return 40;
    }
}
