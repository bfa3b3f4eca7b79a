package org.gooseberryhill.logging;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.vavr.Lazy;
import org.apache.logging.log4j.Logger;

/** Adapts Netty's logging to Log4j; logs warnings and errors only. Thread-safe. */
final class NettyLogger extends AbstractInternalLogger {
    private static final long serialVersionUID = 1L;

    private final transient Lazy<Logger> log;

    NettyLogger(String name) {
        super(name);
        this.log = LazyLoggers.named(name);
    }

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public void trace(String message) {}

    @Override
    public void trace(String format, Object argument) {}

    @Override
    public void trace(String format, Object first, Object second) {}

    @Override
    public void trace(String format, Object... arguments) {}

    @Override
    public void trace(String message, Throwable failure) {}

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public void debug(String message) {}

    @Override
    public void debug(String format, Object argument) {}

    @Override
    public void debug(String format, Object first, Object second) {}

    @Override
    public void debug(String format, Object... arguments) {}

    @Override
    public void debug(String message, Throwable failure) {}

    @Override
    public boolean isInfoEnabled() {
        return false;
    }

    @Override
    public void info(String message) {}

    @Override
    public void info(String format, Object argument) {}

    @Override
    public void info(String format, Object first, Object second) {}

    @Override
    public void info(String format, Object... arguments) {}

    @Override
    public void info(String message, Throwable failure) {}

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public void warn(String message) {
        log.get().warn(message);
    }

    @Override
    public void warn(String format, Object argument) {
        log.get().warn(format, argument);
    }

    @Override
    public void warn(String format, Object first, Object second) {
        log.get().warn(format, first, second);
    }

    @Override
    public void warn(String format, Object... arguments) {
        log.get().warn(format, arguments);
    }

    @Override
    public void warn(String message, Throwable failure) {
        log.get().warn(message, failure);
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }

    @Override
    public void error(String message) {
        log.get().error(message);
    }

    @Override
    public void error(String format, Object argument) {
        log.get().error(format, argument);
    }

    @Override
    public void error(String format, Object first, Object second) {
        log.get().error(format, first, second);
    }

    @Override
    public void error(String format, Object... arguments) {
        log.get().error(format, arguments);
    }

    @Override
    public void error(String message, Throwable failure) {
        log.get().error(message, failure);
    }
}
