package org.gooseberryhill.program;

import java.util.Optional;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.process.HostSettings;
import org.gooseberryhill.zone.AvailabilityZone;
import picocli.CommandLine.Option;

/** The options common to entries, stewards and stores. Used by one thread. */
final class HostOptions {
    private static final long MAX_MILLIS = 3_600_000;

    @Option(
            names = "--host-id",
            defaultValue = "${env:GOOSEBERRY_HOST_ID:-}",
            description = "Name of this process, unique in the fleet")
    private String hostId;

    @Option(names = "--zone", defaultValue = "${env:GOOSEBERRY_ZONE:-}", description = "Availability zone")
    private String zone;

    @Option(
            names = "--peer-address",
            defaultValue = "${env:GOOSEBERRY_PEER_ADDRESS:-}",
            description = "ip:port for the system's other processes")
    private String peerAddress;

    @Option(
            names = "--key-value-address",
            defaultValue = "${env:GOOSEBERRY_KEY_VALUE_ADDRESS:-}",
            description = "ip:port of the platform's key-value store")
    private String keyValueAddress;

    @Option(
            names = "--host-list-address",
            defaultValue = "${env:GOOSEBERRY_HOST_LIST_ADDRESS:-}",
            description = "ip:port of the platform's host list")
    private String hostListAddress;

    @Option(
            names = "--platform-timeout-millis",
            defaultValue = "${env:GOOSEBERRY_PLATFORM_TIMEOUT_MILLIS:-1000}",
            description = "How long a call to the platform may take (default 1000)")
    private String platformTimeoutMillis;

    @Option(
            names = "--host-list-period-millis",
            defaultValue = "${env:GOOSEBERRY_HOST_LIST_PERIOD_MILLIS:-1000}",
            description = "How often the host list is read (default 1000)")
    private String hostListPeriodMillis;

    @Option(
            names = "--lease-millis",
            defaultValue = "${env:GOOSEBERRY_LEASE_MILLIS:-5000}",
            description = "How long a lease lasts after its last renewal (default 5000)")
    private String leaseMillis;

    @Option(
            names = "--stop-grace-millis",
            defaultValue = "${env:GOOSEBERRY_STOP_GRACE_MILLIS:-2000}",
            description = "How long requests are accepted after a stop is requested (default 2000)")
    private String stopGraceMillis;

    @Option(
            names = "--stop-bound-millis",
            defaultValue = "${env:GOOSEBERRY_STOP_BOUND_MILLIS:-120000}",
            description = "Time after which a stop ends even with requests in progress (default 120000)")
    private String stopBoundMillis;

    HostSettings readSettings(Role role, SettingsReader reader) {
        Host self = new Host(
                new HostId(reader.requiredText("--host-id", hostId)),
                role,
                new AvailabilityZone(reader.requiredText("--zone", zone)),
                reader.address("--peer-address", peerAddress),
                false);
        return new HostSettings(
                self,
                reader.address("--key-value-address", keyValueAddress),
                reader.address("--host-list-address", hostListAddress),
                (int) reader.number("--platform-timeout-millis", platformTimeoutMillis, 10, MAX_MILLIS),
                reader.number("--host-list-period-millis", hostListPeriodMillis, 100, MAX_MILLIS),
                reader.number("--lease-millis", leaseMillis, 1000, MAX_MILLIS),
                reader.number("--stop-grace-millis", stopGraceMillis, 0, MAX_MILLIS),
                reader.number("--stop-bound-millis", stopBoundMillis, 0, MAX_MILLIS),
                Optional.empty());
    }
}
