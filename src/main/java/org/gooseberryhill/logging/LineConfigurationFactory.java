package org.gooseberryhill.logging;

import java.net.URI;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.config.Configuration;
import org.apache.logging.log4j.core.config.ConfigurationFactory;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;

/** Supplies the {@link LineConfiguration} to every logger context. Thread-safe. */
public final class LineConfigurationFactory extends ConfigurationFactory {
    /**
     * Initializes Log4j with the line configuration; must be called before the first logger is created. Otherwise Log4j
     * finds the same configuration only after a scan of all plug-ins.
     */
    public static void install() {
        Configurator.initialize(new LineConfiguration(null));
    }

    @Override
    public Configuration getConfiguration(LoggerContext context, ConfigurationSource source) {
        return new LineConfiguration(context);
    }

    @Override
    public Configuration getConfiguration(LoggerContext context, String name, URI location) {
        return new LineConfiguration(context);
    }

    @Override
    public Configuration getConfiguration(LoggerContext context, String name, URI location, ClassLoader loader) {
        return new LineConfiguration(context);
    }

    @Override
    protected String[] getSupportedTypes() {
        return new String[] {"*"};
    }
}
