package org.gooseberryhill.logging;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * The log's configuration, made without a file.
 *
 * <p>Reading a file, and looking for all plug-ins that one could name, took half of a process's time to start; a host that
 * was lost is back that much sooner.
 */
final class LineConfiguration extends AbstractConfiguration {
    /** The environment variable with the least level that is written; INFO if it is not set. */
    static final String LEVEL_VARIABLE = "GOOSEBERRY_LOG_LEVEL";

    LineConfiguration(LoggerContext context) {
        super(context, ConfigurationSource.NULL_SOURCE);
    }

    @Override
    public void initialize() {
        LineAppender appender = new LineAppender();
        appender.start();
        addAppender(appender);
        getRootLogger().setLevel(Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO));
        getRootLogger().addAppender(appender, null, null);
        addLogger("io.netty", new LoggerConfig("io.netty", Level.WARN, true));
        // Connections that end after their threads have: nothing is lost by it.
        String ended = "io.netty.util.concurrent.DefaultPromise.rejectedExecution";
        addLogger(ended, new LoggerConfig(ended, Level.OFF, false));
        setState(State.INITIALIZED);
    }
}
