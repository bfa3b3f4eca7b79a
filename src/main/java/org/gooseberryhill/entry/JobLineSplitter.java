package org.gooseberryhill.entry;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Try;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.gooseberryhill.link.Json;

/**
 * Splits a job's body into items, one JSON object per line, and collects findings: the errors with their line numbers.
 * Not thread-safe.
 *
 * <p>Blank lines are skipped but counted in line numbers. After the first finding no item is returned; further findings
 * are collected up to a maximum number.
 */
final class JobLineSplitter {
    private static final int MAX_FINDINGS = 20;

    private final int maxItems;
    private final int maxItemBytes;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final List<String> findings = new ArrayList<>();
    private boolean lineTooLong;
    private int lineNumber;
    private int itemCount;

    JobLineSplitter(int maxItems, int maxItemBytes) {
        this.maxItems = maxItems;
        this.maxItemBytes = maxItemBytes;
    }

    /** Reads the next bytes of the body and returns the items that they complete. */
    List<String> read(byte[] bytes) {
        List<String> completed = new ArrayList<>();
        for (byte value : bytes) {
            if (value == '\n') {
                endLine(completed);
            } else if (line.size() < maxItemBytes) {
                line.write(value);
            } else {
                lineTooLong = true;
            }
        }
        return completed;
    }

    /** Ends the body and returns the item of an unterminated last line, if there is one. */
    List<String> end() {
        List<String> completed = new ArrayList<>();
        if (line.size() > 0) {
            endLine(completed);
        }
        return completed;
    }

    /** Returns the findings, each with its line number; empty if there are none. */
    List<String> findings() {
        return findings;
    }

    int itemCount() {
        return itemCount;
    }

    private void endLine(List<String> completed) {
        lineNumber++;
        byte[] bytes = line.toByteArray();
        boolean tooLong = lineTooLong;
        line.reset();
        lineTooLong = false;
        if (tooLong) {
            addFinding("longer than " + maxItemBytes + " bytes");
            return;
        }
        String text = new String(bytes, StandardCharsets.UTF_8).strip();
        if (text.isEmpty()) {
            return;
        }
        itemCount++;
        if (itemCount > maxItems) {
            addFinding("more than " + maxItems + " items");
            return;
        }
        validate(bytes);
        if (findings.isEmpty()) {
            completed.add(text);
        }
    }

    private void validate(byte[] bytes) {
        Try<JsonNode> json = Json.tree(bytes);
        if (json.isFailure()) {
            addFinding("not valid JSON: " + firstLine(json.getCause().getMessage()));
        } else if (!json.get().isObject()) {
            addFinding("a JSON object is expected");
        } else if (!json.get().has("messages") && !json.get().has("prompt")) {
            addFinding("neither \"messages\" nor \"prompt\" is there");
        }
    }

    private void addFinding(String problem) {
        if (findings.size() < MAX_FINDINGS) {
            findings.add("line " + lineNumber + ": " + problem);
        }
    }

    private static String firstLine(String message) {
        int end = message.indexOf('\n');
        return end < 0 ? message : message.substring(0, end);
    }
}
