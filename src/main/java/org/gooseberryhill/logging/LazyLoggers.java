package org.gooseberryhill.logging;

import io.vavr.Lazy;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.core.LoggerContext;

/**
 * Supplies loggers that are created on first use. Thread-safe.
 *
 * <p>Initializing the logging library takes one third of a process's start-up time, while callers wait for a restarted
 * process. It is therefore deferred until the first message is logged.
 */
public final class LazyLoggers {
    private static final Lazy<Boolean> INITIALIZATION = Lazy.of(() -> {
        LineConfigurationFactory.install();
        return true;
    });

    private LazyLoggers() {}

    /** Returns the logger of a class. */
    public static Lazy<Logger> of(Class<?> owner) {
        return named(owner.getName());
    }

    /**
     * Writes the messages that remain in the ring buffer and stops logging, at the end of a process.
     *
     * @param timeoutMillis the timeout in milliseconds, since nobody may be reading standard output
     */
    public static void stop(long timeoutMillis) {
        if (INITIALIZATION.isEvaluated() && LogManager.getContext(false) instanceof LoggerContext context) {
            context.stop(timeoutMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns the logger of a name. */
    static Lazy<Logger> named(String name) {
        return Lazy.of(() -> {
            INITIALIZATION.get();
            return LogManager.getLogger(name);
        });
    }
}
