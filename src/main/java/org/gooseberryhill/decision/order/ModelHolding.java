package org.gooseberryhill.decision.order;

import java.util.List;

/**
 * The model, version and adapters that an endpoint holds or is to hold. Immutable.
 *
 * @param model the name of the model
 * @param version the version of the model
 * @param adapters the adapters of the model, sorted
 */
public record ModelHolding(String model, String version, List<String> adapters) {
    /** Sorts the adapters, so that holdings with the same adapters in different order are equal. */
    public ModelHolding {
        adapters = adapters.stream().sorted().toList();
    }
}
