package org.gooseberryhill.configuration;

import java.text.MessageFormat;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.ResourceBundle;

/**
 * Collects all findings of one text, so that they are reported together. Not thread-safe.
 *
 * <p>Messages and remedies come from the resource bundle {@code configuration-messages}.
 */
public final class Findings {
    private static final ResourceBundle TEXTS = ResourceBundle.getBundle("configuration-messages");
    private static final String REMEDY_SUFFIX = ".remedy";

    private final String file;
    private final List<Finding> findings = new ArrayList<>();

    /** Creates an empty collection for one file. */
    public Findings(String file) {
        this.file = file;
    }

    /** Adds a finding; the arguments fill the placeholders of both the message and the remedy. */
    public void add(TextPosition position, String key, String messageKey, Object... arguments) {
        String message = MessageFormat.format(TEXTS.getString(messageKey), arguments);
        String remedy = MessageFormat.format(TEXTS.getString(messageKey + REMEDY_SUFFIX), arguments);
        findings.add(new Finding(file, position, key, messageKey, message, remedy));
    }

    /** Returns whether there are no findings. */
    public boolean isEmpty() {
        return findings.isEmpty();
    }

    /** Returns the findings in the order of the text. */
    public List<Finding> sorted() {
        return findings.stream()
                .sorted(Comparator.comparingInt(
                                (Finding finding) -> finding.place().line())
                        .thenComparingInt(finding -> finding.place().column())
                        .thenComparing(Finding::messageKey))
                .toList();
    }
}
