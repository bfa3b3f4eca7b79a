package org.gooseberryhill.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;

/**
 * Writes lines to standard output. Used by the log's own thread only, which is the one that waits when nobody reads.
 */
final class LineAppender extends AbstractAppender {
    private final FileOutputStream out = new FileOutputStream(FileDescriptor.out);

    LineAppender() {
        super("lines", null, new LineLayout(), true, Property.EMPTY_ARRAY);
    }

    @Override
    public void append(LogEvent event) {
        try {
            out.write(getLayout().toByteArray(event));
        } catch (IOException e) {
            // Nobody can be told: standard output is where it would be said.
            error("a line could not be written", event, e);
        }
    }
}
