package org.gooseberryhill.load;

import java.util.List;

/** Describes the workload of a deployment. Implementations are immutable. */
public interface Workload {
    /** Returns the name in reports. */
    String name();

    /** Returns the kinds of online requests. */
    List<RequestKind> kinds();

    /** Returns the mean rate of online requests per second outside of bursts. */
    double requestsPerSecond();

    /** Returns the factor by which the rate is higher during the burst. */
    double burstFactor();

    /** Returns the prompt length of a batch item in characters. */
    int itemPromptCharacters();

    /** Returns the number of tokens to generate for a batch item. */
    int itemTokens();
}
