package org.gooseberryhill.decision.configuration;

import io.vavr.control.Either;
import java.util.List;
import org.gooseberryhill.configuration.Configuration;
import org.gooseberryhill.configuration.ConfigurationReader;
import org.gooseberryhill.configuration.Finding;

/**
 * The configuration in force on one host. Not thread-safe.
 *
 * <p>Invariant: the revision only grows. It comes from the key-value service, so a slow watcher, a peer that was cut
 * off, or a store that answers with an older revision can never bring an older text back.
 */
public final class ConfigurationInForce {
    /** What became of an offered text. */
    public enum Offer {
        /** It is in force now. */
        APPLIED,
        /** It is not newer than the one in force. */
        NOT_NEWER,
        /** It breaks a rule; the one before stays in force. */
        INVALID
    }

    private long revision;
    private String text = "";
    private Configuration configuration = Configuration.EMPTY;
    private List<Finding> findings = List.of();

    /** Offers a text with the revision that the key-value service gave it. */
    public Offer offer(long newRevision, String newText) {
        if (newRevision <= revision) {
            return Offer.NOT_NEWER;
        }
        Either<List<Finding>, Configuration> read = ConfigurationReader.read("configuration", newText);
        if (read.isLeft()) {
            // The command line checks before it applies; this text was written past it. Serving goes on with the
            // last good one, and the revision stays, so that the mended text is taken whatever its order.
            findings = read.getLeft();
            return Offer.INVALID;
        }
        revision = newRevision;
        text = newText;
        configuration = read.get();
        findings = List.of();
        return Offer.APPLIED;
    }

    /** The revision in force; 0 before the first. */
    public long revision() {
        return revision;
    }

    /** The text in force. */
    public String text() {
        return text;
    }

    /** The configuration in force. */
    public Configuration configuration() {
        return configuration;
    }

    /** What was wrong with the latest text that was not taken. */
    public List<Finding> findings() {
        return findings;
    }
}
