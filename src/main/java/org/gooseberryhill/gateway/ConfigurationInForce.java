package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.gooseberryhill.route.RouteConfiguration;
import org.gooseberryhill.route.RouteTable;
import org.gooseberryhill.timeline.EventKind;

/**
 * Puts configurations into force at all parts of a gateway. Confined to the control thread, except for the table.
 *
 * <p>Invariant: the version never goes back, and a configuration is logged as in force when all parts have taken it.
 */
final class ConfigurationInForce {
    private final GatewayContext context;
    private final LatestValueDelivery<RouteTable> delivery;
    private volatile RouteTable table = RouteTable.EMPTY;

    ConfigurationInForce(GatewayContext context, List<Consumer<RouteTable>> parts) {
        this.context = context;
        List<Consumer<RouteTable>> receivers = new ArrayList<>();
        receivers.add(newTable -> table = newTable);
        receivers.addAll(parts);
        this.delivery = context.newDelivery("configuration", receivers, this::logInForce);
    }

    /** Returns the table of the configuration. Thread-safe. */
    RouteTable table() {
        return table;
    }

    /** Puts a configuration into force if it is newer. */
    void configure(RouteConfiguration configuration) {
        if (configuration.version() > table.configuration().version()) {
            delivery.deliver(new RouteTable(configuration));
        }
    }

    private void logInForce(RouteTable newTable) {
        RouteConfiguration configuration = newTable.configuration();
        context.timeline()
                .event(EventKind.CONFIGURATION_IN_FORCE)
                .with("version", configuration.version())
                .with("routes", configuration.routes().size())
                .with("accounts", configuration.accounts().size())
                .write();
    }
}
