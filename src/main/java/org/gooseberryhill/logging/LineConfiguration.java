package org.gooseberryhill.logging;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * The Log4j configuration, built in code.
 *
 * <p>Reading a configuration file and scanning for the plug-ins that it could name would take half of a process's start-up
 * time. Without both, a host that was lost serves again sooner.
 */
final class LineConfiguration extends AbstractConfiguration {
    /** The environment variable with the minimum level that is written; INFO if it is not set. */
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
        // Connections closed after their event loop has terminated: harmless at shutdown.
        String rejectedExecutionLogger = "io.netty.util.concurrent.DefaultPromise.rejectedExecution";
        addLogger(rejectedExecutionLogger, new LoggerConfig(rejectedExecutionLogger, Level.OFF, false));
        setState(State.INITIALIZED);
    }
}
