package org.gooseberryhill.timeline;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Hands events to the process's log, which writes them to standard output. Thread-safe. */
public final class LogSink implements EventSink {
    private static final Logger LOG = LogManager.getLogger("timeline");

    @Override
    public void take(TimelineEvent event) {
        LOG.info(new EventMessage(event));
    }
}
