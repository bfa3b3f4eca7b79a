package org.gooseberryhill.program;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.process.AdminServer;
import org.gooseberryhill.process.HostSettings;
import org.gooseberryhill.store.StoreProcess;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** The command line of {@code gooseberry-store}. */
@Command(
        name = "gooseberry-store",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Keeps segments of jobs on a disk. Each flag has an environment variable GOOSEBERRY_...")
public final class StoreMain implements Callable<Integer> {
    private static final long MAX_MILLIS = 3_600_000;

    @Mixin
    private HostOptions host = new HostOptions();

    @Option(
            names = "--admin-address",
            defaultValue = "${env:GOOSEBERRY_ADMIN_ADDRESS:-}",
            description = "ip:port for /healthz, /readyz and /metrics; none if not set")
    private String adminAddress;

    @Option(
            names = "--data-folder",
            defaultValue = "${env:GOOSEBERRY_DATA_FOLDER:-}",
            description = "Folder for the segments")
    private String dataFolder;

    @Option(
            names = "--repair-period-millis",
            defaultValue = "${env:GOOSEBERRY_REPAIR_PERIOD_MILLIS:-5000}",
            description = "How often missing copies are looked for (default 5000)")
    private String repairPeriodMillis;

    /** Runs the program. */
    public static void main(String... arguments) {
        System.exit(Commands.run(new StoreMain(), arguments));
    }

    @Override
    public Integer call() throws IOException {
        SettingsReader reader = new SettingsReader();
        HostSettings settings = host.readSettings(Role.STORE, reader);
        Path folder = Path.of(reader.requiredText("--data-folder", dataFolder));
        long periodMillis = reader.number("--repair-period-millis", repairPeriodMillis, 100, MAX_MILLIS);
        Optional<Address> admin = reader.optionalAddress("--admin-address", adminAddress);
        reader.requireNoFindings();
        StoreProcess store = new StoreProcess(
                settings, folder, periodMillis, settings.self().id().hashCode());
        store.start();
        admin.ifPresent(address -> new AdminServer(store.process(), address));
        ProcessLifecycle.runUntilStopped(store.process(), store);
        return Commands.OK;
    }
}
