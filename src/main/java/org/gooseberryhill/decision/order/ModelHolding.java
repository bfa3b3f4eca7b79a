package org.gooseberryhill.decision.order;

import java.util.List;

/**
 * What an endpoint holds or shall hold. Immutable.
 *
 * @param model the model's name
 * @param version its version
 * @param adapters its adapters, sorted
 */
public record ModelHolding(String model, String version, List<String> adapters) {
    /** Sorts the adapters, so that equal holdings compare equal. */
    public ModelHolding {
        adapters = adapters.stream().sorted().toList();
    }
}
