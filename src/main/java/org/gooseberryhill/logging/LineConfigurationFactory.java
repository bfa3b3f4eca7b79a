package org.gooseberryhill.logging;

import java.net.URI;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.config.Configuration;
import org.apache.logging.log4j.core.config.ConfigurationFactory;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;

/** Gives every logger context the {@link LineConfiguration}. Thread-safe. */
public final class LineConfigurationFactory extends ConfigurationFactory {
    /**
     * Has all logging go through the line configuration; to be called before the first logger is made. Without it the same
     * configuration is found, after a search through all plug-ins.
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
