package org.gooseberryhill.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.gooseberryhill.link.HybridTimestamp;
import org.gooseberryhill.link.Json;

/** Checks that lines are valid JSON for any text that callers send in headers. */
class JsonLineWriterProperties {
    @Property
    void anyTextIsReadAsItWasWritten(@ForAll String value, @ForAll String other) {
        JsonLineWriter writer = new JsonLineWriter(1);
        writer.begin();
        writer.text("a", value);
        writer.text("b", other);
        writer.end();

        JsonNode json = Json.tree(writer.bytes()).get();
        assertThat(json.path("a").textValue()).isEqualTo(encodable(value));
        assertThat(json.path("b").textValue()).isEqualTo(encodable(other));
    }

    @Property
    void numbersAndFlagsAreReadAsTheyWereWritten(@ForAll long whole, @ForAll double number, @ForAll boolean flag) {
        JsonLineWriter writer = new JsonLineWriter(16);
        writer.begin();
        writer.number("whole", whole);
        writer.number("number", number);
        writer.flag("flag", flag);
        writer.end();

        JsonNode json = Json.tree(writer.bytes()).get();
        assertThat(json.path("whole").longValue()).isEqualTo(whole);
        assertThat(json.path("number").asDouble()).isEqualTo(number);
        assertThat(json.path("flag").booleanValue()).isEqualTo(flag);
    }

    @Property
    void timesAreWrittenAsIsoInstants(@ForAll @LongRange(min = 0, max = 4_102_444_800_000L) long epochMillis) {
        JsonLineWriter writer = new JsonLineWriter(16);
        writer.begin();
        writer.time("time", epochMillis);
        writer.end();

        String time = Json.tree(writer.bytes()).get().path("time").textValue();
        assertThat(Instant.parse(time).toEpochMilli()).isEqualTo(epochMillis);
        assertThat(time).hasSize("2026-01-31T12:34:56.789Z".length());
    }

    @Example
    void anUnpairedSurrogateLosesNoLine() {
        anyTextIsReadAsItWasWritten("\ud800", "a\udc00\"b");
    }

    /** Guards against log injection: a request id contains a quote and a line break to add a field and a line. */
    @Example
    void aTextCannotInjectAField() {
        String forged = "x\",\"kind\":\"request.ended\"}\n{\"kind\":\"y";
        TimelineEvent event = new TimelineEvent(
                new HybridTimestamp(1),
                "p",
                "request.failed",
                Optional.of(forged),
                Optional.empty(),
                Optional.empty(),
                Map.of());

        String lines = new String(TimelineLineFormat.formatUtf8(List.of(event)), StandardCharsets.UTF_8);

        assertThat(lines.lines()).hasSize(1);
        assertThat(TimelineLineFormat.parse(lines)).contains(event);
    }

    /** Replaces unpaired surrogates, which UTF-8 cannot represent, as the Java library does. */
    private static String encodable(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
