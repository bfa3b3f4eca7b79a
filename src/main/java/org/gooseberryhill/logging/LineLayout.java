package org.gooseberryhill.logging;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;
import org.gooseberryhill.link.Json;

/** Formats a log message as one JSON object per line, with its level, logger and thread. Thread-safe. */
final class LineLayout extends AbstractStringLayout {
    LineLayout() {
        super(StandardCharsets.UTF_8);
    }

    @Override
    public String toSerializable(LogEvent event) {
        ObjectNode line = Json.object()
                .put("time", Instant.ofEpochMilli(event.getTimeMillis()).toString())
                .put("level", event.getLevel().name())
                .put("logger", event.getLoggerName())
                .put("thread", event.getThreadName())
                .put("message", event.getMessage().getFormattedMessage());
        if (!event.getContextData().isEmpty()) {
            ObjectNode context = line.putObject("context");
            event.getContextData().forEach((name, value) -> context.put(name, String.valueOf(value)));
        }
        if (event.getThrown() != null) {
            line.put("failure", stackTrace(event.getThrown()));
        }
        return Json.text(line) + "\n";
    }

    private static String stackTrace(Throwable failure) {
        StringWriter text = new StringWriter();
        failure.printStackTrace(new PrintWriter(text));
        return text.toString();
    }
}
