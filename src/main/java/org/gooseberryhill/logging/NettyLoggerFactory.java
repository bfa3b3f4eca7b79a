package org.gooseberryhill.logging;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;

/** Routes Netty's warnings and errors to the lazily created loggers of {@link LazyLoggers}. Thread-safe. */
public final class NettyLoggerFactory extends InternalLoggerFactory {
    private static final String MACHINE_ID_PROPERTY = "io.netty.machineId";

    /** A locally administered hardware address. */
    private static final String MACHINE_ID = "02:00:00:00:00:01";

    private NettyLoggerFactory() {}

    /**
     * Installs this factory; must be called before the first connection is made. Otherwise Netty searches for a logging
     * library and initializes it when its first class is loaded. The machine id is fixed, since channel ids are compared within
     * one process only; on a host without a hardware address, the search for one logs a warning, which would initialize
     * logging.
     */
    public static void install() {
        System.setProperty(MACHINE_ID_PROPERTY, MACHINE_ID);
        InternalLoggerFactory.setDefaultFactory(new NettyLoggerFactory());
    }

    @Override
    protected InternalLogger newInstance(String name) {
        return new NettyLogger(name);
    }
}
