package org.gooseberryhill.program;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.gooseberryhill.decision.batch.BatchSlotPolicy;
import org.gooseberryhill.decision.batch.FixedSlotsPolicy;
import org.gooseberryhill.decision.batch.LeftoverSlotsPolicy;
import org.gooseberryhill.decision.job.DispatchOrder;
import org.gooseberryhill.decision.job.EarliestDeadlineFairOrder;
import org.gooseberryhill.decision.job.FirstComeFirstServedOrder;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.process.AdminServer;
import org.gooseberryhill.process.HostSettings;
import org.gooseberryhill.steward.StewardProcess;
import org.gooseberryhill.steward.StewardSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** The command line of {@code gooseberry-steward}. */
@Command(
        name = "gooseberry-steward",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description =
                "Sends batch items and model orders, owns jobs. Each flag has an environment variable GOOSEBERRY_...")
public final class StewardMain implements Callable<Integer> {
    /** The share of an endpoint's slots that batch items leave free for the first requests of a burst. */
    static final double RESERVE_SHARE = 0.125;

    private static final long MAX_MILLIS = 3_600_000;
    private static final int MAX_LOADS = 1000;

    @Mixin
    private HostOptions host = new HostOptions();

    @Option(
            names = "--admin-address",
            defaultValue = "${env:GOOSEBERRY_ADMIN_ADDRESS:-}",
            description = "ip:port for /healthz, /readyz and /metrics; none if not set")
    private String adminAddress;

    @Option(
            names = "--status-period-millis",
            defaultValue = "${env:GOOSEBERRY_STATUS_PERIOD_MILLIS:-1000}",
            description = "How often an endpoint's status is read (default 1000)")
    private String statusPeriodMillis;

    @Option(
            names = "--endpoint-silence-millis",
            defaultValue = "${env:GOOSEBERRY_ENDPOINT_SILENCE_MILLIS:-15000}",
            description = "How long an endpoint may be silent during an exchange (default 15000)")
    private String endpointSilenceMillis;

    @Option(
            names = "--max-handout-millis",
            defaultValue = "${env:GOOSEBERRY_MAX_HANDOUT_MILLIS:-300000}",
            description = "Time after which an item without a report is queued again (default 300000)")
    private String maxHandoutMillis;

    @Option(
            names = "--job-scan-period-millis",
            defaultValue = "${env:GOOSEBERRY_JOB_SCAN_PERIOD_MILLIS:-5000}",
            description = "How often open jobs without an owner are looked for (default 5000)")
    private String jobScanPeriodMillis;

    @Option(
            names = "--longest-order-millis",
            defaultValue = "${env:GOOSEBERRY_LONGEST_ORDER_MILLIS:-10000}",
            description = "How long an order to an endpoint may take (default 10000)")
    private String longestOrderMillis;

    @Option(
            names = "--max-loads",
            defaultValue = "${env:GOOSEBERRY_MAX_LOADS:-2}",
            description = "Endpoints that may load a model at once, over all hosts (default 2)")
    private String maxLoads;

    @Option(
            names = "--policies",
            defaultValue = "${env:GOOSEBERRY_POLICIES:-product}",
            description = "product, or baseline for comparisons (default product)")
    private String policies;

    /** Runs the program. */
    public static void main(String... arguments) {
        System.exit(Commands.run(new StewardMain(), arguments));
    }

    @Override
    public Integer call() throws IOException {
        SettingsReader reader = new SettingsReader();
        HostSettings hostSettings = host.readSettings(Role.STEWARD, reader);
        boolean baseline =
                reader.choice("--policies", policies, "product", "baseline").equals("baseline");
        BatchSlotPolicy slots = baseline ? new FixedSlotsPolicy() : new LeftoverSlotsPolicy(RESERVE_SHARE);
        DispatchOrder order = baseline ? new FirstComeFirstServedOrder() : new EarliestDeadlineFairOrder();
        StewardSettings settings = new StewardSettings(
                slots,
                order,
                reader.number("--status-period-millis", statusPeriodMillis, 50, MAX_MILLIS),
                (int) reader.number("--endpoint-silence-millis", endpointSilenceMillis, 1, MAX_MILLIS),
                reader.number("--max-handout-millis", maxHandoutMillis, 1000, MAX_MILLIS),
                reader.number("--job-scan-period-millis", jobScanPeriodMillis, 100, MAX_MILLIS),
                reader.number("--longest-order-millis", longestOrderMillis, 100, MAX_MILLIS),
                (int) reader.number("--max-loads", maxLoads, 1, MAX_LOADS));
        Optional<Address> admin = reader.optionalAddress("--admin-address", adminAddress);
        reader.requireNoFindings();
        StewardProcess steward = new StewardProcess(
                hostSettings, settings, hostSettings.self().id().hashCode());
        steward.start();
        admin.ifPresent(address -> new AdminServer(steward.process(), address));
        ProcessLifecycle.runUntilStopped(steward.process(), steward);
        return Commands.OK;
    }
}
