package org.gooseberryhill.decision.configuration;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.gooseberryhill.contract.Fingerprint;

/**
 * The difference between two texts: the new lines between a common beginning and a common end. Immutable.
 *
 * <p>The hash guards against applying a change to a text other than the one it was made from, which would give a text
 * that nobody wrote. The result is used only if its hash is that of the new text; otherwise the whole text has to be
 * requested.
 *
 * @param commonPrefixLines the number of unchanged lines at the beginning
 * @param commonSuffixLines the number of unchanged lines at the end
 * @param newLines the new lines between them
 * @param newHash the SHA-256 hash of the new text
 */
public record TextChange(int commonPrefixLines, int commonSuffixLines, List<String> newLines, String newHash) {
    private static final String LINE_END = "\n";

    /** Computes the change from one text to another. */
    public static TextChange between(String oldText, String newText) {
        List<String> oldLines = lines(oldText);
        List<String> newLines = lines(newText);
        int minLines = Math.min(oldLines.size(), newLines.size());
        int prefixLines = 0;
        while (prefixLines < minLines && oldLines.get(prefixLines).equals(newLines.get(prefixLines))) {
            prefixLines++;
        }
        int suffixLines = 0;
        while (suffixLines < minLines - prefixLines
                && oldLines.get(oldLines.size() - 1 - suffixLines)
                        .equals(newLines.get(newLines.size() - 1 - suffixLines))) {
            suffixLines++;
        }
        return new TextChange(
                prefixLines, suffixLines, newLines.subList(prefixLines, newLines.size() - suffixLines), hash(newText));
    }

    /** Returns the new text; empty if the change was not made from the given text. */
    public Optional<String> applyTo(String oldText) {
        List<String> oldLines = lines(oldText);
        if (commonPrefixLines < 0 || commonSuffixLines < 0 || commonPrefixLines + commonSuffixLines > oldLines.size()) {
            return Optional.empty();
        }
        StringBuilder text = new StringBuilder();
        append(text, oldLines.subList(0, commonPrefixLines));
        append(text, newLines);
        append(text, oldLines.subList(oldLines.size() - commonSuffixLines, oldLines.size()));
        String newText = text.substring(0, Math.max(0, text.length() - 1));
        return Optional.of(newText).filter(found -> hash(found).equals(newHash));
    }

    private static void append(StringBuilder text, List<String> lines) {
        lines.forEach(line -> text.append(line).append(LINE_END));
    }

    private static List<String> lines(String text) {
        return List.of(text.split(LINE_END, -1));
    }

    private static String hash(String text) {
        return Fingerprint.sha256Hex(text.getBytes(StandardCharsets.UTF_8));
    }
}
