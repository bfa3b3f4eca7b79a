package org.gooseberryhill.decision.promptpart;

import org.gooseberryhill.directory.ServiceVersion;

/**
 * A part of prompts as one version of a service's software runs it with one model. A part that crashes one version or model may be
 * sound for another. Immutable.
 *
 * @param version the service and the version of its software
 * @param model the name of the model
 * @param part the id of the part
 */
public record PromptPartKey(ServiceVersion version, String model, String part) {
    private static final int HASH_FACTOR = 31;

    /** Returns the key of the same part at another version of the service's software. */
    PromptPartKey at(ServiceVersion other) {
        return new PromptPartKey(other, model, part);
    }

    /** Returns whether the other key names the same part for the same service and model, at any version. */
    boolean isSamePartAs(PromptPartKey other) {
        return part.equals(other.part)
                && model.equals(other.model)
                && version.service().equals(other.version.service());
    }

    // Implemented by hand: the generated methods of a record are linked at their first use, which adds about 10 ms to
    // the start of a host.
    @Override
    public boolean equals(Object other) {
        return other instanceof PromptPartKey that
                && part.equals(that.part)
                && model.equals(that.model)
                && version.equals(that.version);
    }

    @Override
    public int hashCode() {
        return HASH_FACTOR * (HASH_FACTOR * part.hashCode() + model.hashCode()) + version.hashCode();
    }
}
