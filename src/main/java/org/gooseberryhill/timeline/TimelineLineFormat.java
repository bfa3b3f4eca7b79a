package org.gooseberryhill.timeline;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Try;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhill.link.HybridTimestamp;
import org.gooseberryhill.link.Json;

/** Formats events as log lines, one JSON object per line, and parses them. Stateless. */
public final class TimelineLineFormat {
    private static final String AT = "at";
    private static final String TIME = "time";
    private static final String PROCESS = "process";
    private static final String KIND = "kind";
    private static final String REQUEST = "request";
    private static final String JOB = "job";
    private static final String ENDPOINT = "endpoint";
    private static final int EXPECTED_LINE_BYTES = 300;
    private static final Set<String> STANDARD_FIELDS = Set.of(AT, TIME, PROCESS, KIND, REQUEST, JOB, ENDPOINT);

    private TimelineLineFormat() {}

    /** Formats an event as one line, without the line terminator. */
    public static String format(TimelineEvent event) {
        return new String(formatUtf8(List.of(event)), StandardCharsets.UTF_8).stripTrailing();
    }

    /** Formats events as lines in UTF-8, each with a line terminator. */
    public static byte[] formatUtf8(List<TimelineEvent> events) {
        JsonLineWriter writer = new JsonLineWriter(events.size() * EXPECTED_LINE_BYTES);
        events.forEach(event -> writeEvent(event, writer));
        return writer.bytes();
    }

    /** Parses a line; empty if it is not an event, such as a line truncated when its process was killed. */
    public static Optional<TimelineEvent> parse(String line) {
        Try<JsonNode> json = Json.tree(line.getBytes(StandardCharsets.UTF_8));
        if (json.isFailure()
                || !json.get().path(AT).isIntegralNumber()
                || !json.get().has(KIND)) {
            return Optional.empty();
        }
        JsonNode node = json.get();
        Map<String, Object> details = new LinkedHashMap<>();
        node.properties().forEach(field -> {
            if (!STANDARD_FIELDS.contains(field.getKey())) {
                details.put(field.getKey(), field.getValue().asText());
            }
        });
        return Optional.of(new TimelineEvent(
                new HybridTimestamp(node.path(AT).asLong()),
                node.path(PROCESS).asText(),
                node.path(KIND).asText(),
                optionalText(node, REQUEST),
                optionalText(node, JOB),
                optionalText(node, ENDPOINT),
                details));
    }

    private static void writeEvent(TimelineEvent event, JsonLineWriter line) {
        line.begin();
        // For human readers only; events are ordered by the hybrid timestamp.
        line.time(TIME, event.at().epochMillis());
        line.number(AT, event.at().packed());
        line.text(PROCESS, event.process());
        line.text(KIND, event.kind());
        event.request().ifPresent(value -> line.text(REQUEST, value));
        event.job().ifPresent(value -> line.text(JOB, value));
        event.endpoint().ifPresent(value -> line.text(ENDPOINT, value));
        event.details().forEach((name, value) -> writeDetail(line, name, value));
        line.end();
    }

    private static void writeDetail(JsonLineWriter line, String name, Object value) {
        if (value instanceof Boolean flag) {
            line.flag(name, flag);
        } else if (value instanceof Double || value instanceof Float) {
            line.number(name, ((Number) value).doubleValue());
        } else if (value instanceof Number number) {
            line.number(name, number.longValue());
        } else {
            line.text(name, String.valueOf(value));
        }
    }

    private static Optional<String> optionalText(JsonNode node, String field) {
        return node.has(field) ? Optional.of(node.path(field).asText()) : Optional.empty();
    }
}
