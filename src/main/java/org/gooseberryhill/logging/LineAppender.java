package org.gooseberryhill.logging;

import java.io.PrintStream;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;

/**
 * Writes log lines to standard output. Used by the logging thread only, which blocks while nobody reads standard
 * output.
 */
final class LineAppender extends AbstractAppender {
    private final PrintStream standardOutput = System.out;

    LineAppender() {
        super("lines", null, new LineLayout(), true, Property.EMPTY_ARRAY);
    }

    @Override
    public void append(LogEvent event) {
        byte[] line = getLayout().toByteArray(event);
        standardOutput.write(line, 0, line.length);
        standardOutput.flush();
    }
}
