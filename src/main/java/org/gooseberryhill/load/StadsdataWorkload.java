package org.gooseberryhill.load;

import java.util.List;

/**
 * The workload of Stadsdata, a data portal: citizens request summaries, clerks request explanations, and apps download
 * records. Immutable.
 */
public final class StadsdataWorkload implements Workload {
    private static final List<RequestKind> KINDS = List.of(
            new RequestKind("summaries", 5, false, 1000, 30),
            new RequestKind("explanations", 3, false, 200, 20),
            new RequestKind("records", 4, true, 0, 0));

    @Override
    public String name() {
        return "stadsdata";
    }

    @Override
    public List<RequestKind> kinds() {
        return KINDS;
    }

    @Override
    public double requestsPerSecond() {
        return 48;
    }

    @Override
    public double burstFactor() {
        return 3;
    }

    @Override
    public int itemPromptCharacters() {
        return 600;
    }

    @Override
    public int itemTokens() {
        return 30;
    }
}
