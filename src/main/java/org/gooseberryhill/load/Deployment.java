package org.gooseberryhill.load;

import java.util.List;

/** A deployment's workload, after the brief. Implementations are immutable. */
public interface Deployment {
    /** Its name in reports. */
    String name();

    /** The online kinds. */
    List<RequestKind> kinds();

    /** Online requests a second outside of bursts. */
    double requestsPerSecond();

    /** How many times more come during the burst. */
    double burstFactor();

    /** Prompt length of a batch item, in characters. */
    int itemPromptCharacters();

    /** Tokens of a batch item. */
    int itemTokens();
}
