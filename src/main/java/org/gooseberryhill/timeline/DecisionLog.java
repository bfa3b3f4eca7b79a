package org.gooseberryhill.timeline;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.link.HybridClock;
import org.gooseberryhill.link.Json;

/** Writes one JSON line for each decision to standard output. Thread-safe. */
public final class DecisionLog {
    private static final Logger LOG = LogManager.getLogger(DecisionLog.class);

    private final String process;
    private final HybridClock clock;

    /** A log of one process. */
    public DecisionLog(String process, HybridClock clock) {
        this.process = process;
        this.clock = clock;
    }

    /** Writes a line: its kind, then names and values in turn. */
    public void record(String kind, Object... namesAndValues) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("at", clock.now().packed());
        line.put("process", process);
        line.put("kind", kind);
        for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
            line.put(String.valueOf(namesAndValues[i]), namesAndValues[i + 1]);
        }
        LOG.info(Json.text(line));
    }
}
