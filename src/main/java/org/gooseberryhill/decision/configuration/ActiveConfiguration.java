package org.gooseberryhill.decision.configuration;

import io.vavr.control.Either;
import java.util.List;
import org.gooseberryhill.configuration.Configuration;
import org.gooseberryhill.configuration.ConfigurationReader;
import org.gooseberryhill.configuration.Finding;

/**
 * Holds the active configuration of one host. Not thread-safe.
 *
 * <p>Invariant: the revision, which the key-value store assigns, only grows. A slow watcher, a peer that was
 * partitioned or a key-value store that answers with an older revision can therefore never bring back an older text.
 */
public final class ActiveConfiguration {
    /** The result of offering a text. */
    public enum Offer {
        /** The text is now active. */
        APPLIED,
        /** The text is not newer than the active one. */
        NOT_NEWER,
        /** The text violates a rule; the previous one stays active. */
        INVALID
    }

    private long revision;
    private String text = "";
    private Configuration configuration = Configuration.EMPTY;
    private List<Finding> findings = List.of();

    /** Activates a text, with the revision that the key-value store assigned to it, if it is newer and valid. */
    public Offer offer(long newRevision, String newText) {
        if (newRevision <= revision) {
            return Offer.NOT_NEWER;
        }
        Either<List<Finding>, Configuration> parsed = ConfigurationReader.read("configuration", newText);
        if (parsed.isLeft()) {
            // The command line validates texts before it applies them, so this one was written in another way. Serving
            // continues with the last valid text. The revision stays, so that a corrected text is applied in
            // whatever order it arrives.
            findings = parsed.getLeft();
            return Offer.INVALID;
        }
        revision = newRevision;
        text = newText;
        configuration = parsed.get();
        findings = List.of();
        return Offer.APPLIED;
    }

    /** Returns the active revision; 0 if no text has been applied yet. */
    public long revision() {
        return revision;
    }

    /** Returns the active text; empty if no text has been applied yet. */
    public String text() {
        return text;
    }

    /** Returns the active configuration. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns the findings on the latest text if it was invalid; empty once a valid text has been applied. */
    public List<Finding> findings() {
        return findings;
    }
}
