package org.gooseberryhill.program;

import java.io.IOException;
import java.util.concurrent.Callable;
import org.gooseberryhill.decision.online.OnlinePolicies;
import org.gooseberryhill.entry.EntryProcess;
import org.gooseberryhill.entry.EntrySettings;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.http.ConnectionLimits;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.process.HostSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** The command line of {@code gooseberry-entry}. */
@Command(
        name = "gooseberry-entry",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Takes callers' requests. Each flag has an environment variable GOOSEBERRY_...")
public final class EntryMain implements Callable<Integer> {
    private static final int MAX_BODY_BYTES = 256 * 1024 * 1024;
    private static final int MAX_CONNECTIONS = 1_000_000;
    private static final int MAX_ITEMS = 10_000_000;
    private static final int MAX_ITEM_BYTES = 64 * 1024;
    private static final long MAX_MILLIS = 3_600_000;

    @Mixin
    private HostOptions host = new HostOptions();

    @Option(
            names = "--http-address",
            defaultValue = "${env:GOOSEBERRY_HTTP_ADDRESS:-}",
            description = "ip:port for callers")
    private String httpAddress;

    @Option(
            names = "--max-body-bytes",
            defaultValue = "${env:GOOSEBERRY_MAX_BODY_BYTES:-4194304}",
            description = "Largest body of an online request (default 4194304)")
    private String maxBodyBytes;

    @Option(
            names = "--max-items",
            defaultValue = "${env:GOOSEBERRY_MAX_ITEMS:-300000}",
            description = "Largest number of items of a job (default 300000)")
    private String maxItems;

    @Option(
            names = "--max-item-bytes",
            defaultValue = "${env:GOOSEBERRY_MAX_ITEM_BYTES:-65536}",
            description = "Largest item of a job (default and maximum 65536)")
    private String maxItemBytes;

    @Option(
            names = "--deadline-millis",
            defaultValue = "${env:GOOSEBERRY_DEADLINE_MILLIS:-120000}",
            description = "How long an online request may take if its caller sets no deadline (default 120000)")
    private String deadlineMillis;

    @Option(
            names = "--endpoint-silence-millis",
            defaultValue = "${env:GOOSEBERRY_ENDPOINT_SILENCE_MILLIS:-15000}",
            description = "How long an endpoint may be silent during an exchange (default 15000)")
    private String endpointSilenceMillis;

    @Option(
            names = "--max-connections",
            defaultValue = "${env:GOOSEBERRY_MAX_CONNECTIONS:-2000}",
            description = "Maximum number of open connections from callers (default 2000)")
    private String maxConnections;

    @Option(
            names = "--max-connections-per-address",
            defaultValue = "${env:GOOSEBERRY_MAX_CONNECTIONS_PER_ADDRESS:-2000}",
            description = "Maximum number of open connections from one IP address (default 2000)")
    private String maxConnectionsPerAddress;

    @Option(
            names = "--header-timeout-millis",
            defaultValue = "${env:GOOSEBERRY_HEADER_TIMEOUT_MILLIS:-10000}",
            description = "Maximum time for the head of a request (default 10000)")
    private String headerTimeoutMillis;

    @Option(
            names = "--policies",
            defaultValue = "${env:GOOSEBERRY_POLICIES:-product}",
            description = "product, or baseline for comparisons (default product)")
    private String policies;

    /** Runs the program. */
    public static void main(String... arguments) {
        System.exit(Commands.run(new EntryMain(), arguments));
    }

    @Override
    public Integer call() throws IOException {
        SettingsReader reader = new SettingsReader();
        HostSettings hostSettings = host.readSettings(Role.ENTRY, reader);
        long seed = hostSettings.self().id().hashCode();
        EntrySettings settings = new EntrySettings(
                reader.address("--http-address", httpAddress),
                readHttpLimits(reader),
                (int) reader.number("--max-body-bytes", maxBodyBytes, 1024, MAX_BODY_BYTES),
                (int) reader.number("--max-items", maxItems, 1, MAX_ITEMS),
                (int) reader.number("--max-item-bytes", maxItemBytes, 1, MAX_ITEM_BYTES),
                reader.number("--deadline-millis", deadlineMillis, 1, MAX_MILLIS),
                (int) reader.number("--endpoint-silence-millis", endpointSilenceMillis, 1, MAX_MILLIS),
                readPolicies(reader));
        reader.requireNoFindings();
        EntryProcess entry = new EntryProcess(hostSettings, settings, seed);
        entry.start();
        ProcessLifecycle.runUntilStopped(entry.process(), entry);
        return Commands.OK;
    }

    private HttpLimits readHttpLimits(SettingsReader reader) {
        ConnectionLimits connections =
                new ConnectionLimits((int) reader.number("--max-connections", maxConnections, 1, MAX_CONNECTIONS), (int)
                        reader.number("--max-connections-per-address", maxConnectionsPerAddress, 1, MAX_CONNECTIONS));
        return new HttpLimits(
                HttpLimits.DEFAULT.maxHeaderBytes(),
                HttpLimits.DEFAULT.maxRequestLineBytes(),
                HttpLimits.DEFAULT.idleTimeoutMillis(),
                HttpLimits.DEFAULT.maxPendingWriteBytes(),
                (int) reader.number("--header-timeout-millis", headerTimeoutMillis, 1, MAX_MILLIS),
                connections);
    }

    private OnlinePolicies readPolicies(SettingsReader reader) {
        boolean baseline =
                reader.choice("--policies", policies, "product", "baseline").equals("baseline");
        return baseline ? OnlinePolicies.baseline() : OnlinePolicies.defaults();
    }
}
