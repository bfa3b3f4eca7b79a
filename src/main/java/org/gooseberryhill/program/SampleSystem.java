package org.gooseberryhill.program;

import java.io.Closeable;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.gooseberryhill.decision.batch.BatchSlotPolicy;
import org.gooseberryhill.decision.batch.FixedSlotsPolicy;
import org.gooseberryhill.decision.batch.LeftoverSlotsPolicy;
import org.gooseberryhill.decision.configuration.ConfigurationEdit;
import org.gooseberryhill.decision.job.DispatchOrder;
import org.gooseberryhill.decision.job.EarliestDeadlineFairOrder;
import org.gooseberryhill.decision.job.FirstComeFirstServedOrder;
import org.gooseberryhill.decision.online.OnlinePolicies;
import org.gooseberryhill.entry.EntryProcess;
import org.gooseberryhill.entry.EntrySettings;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.http.HttpLimits;
import org.gooseberryhill.process.HostSettings;
import org.gooseberryhill.standin.EngineSpeed;
import org.gooseberryhill.standin.SampleFleet;
import org.gooseberryhill.standin.SamplePlatform;
import org.gooseberryhill.steward.StewardProcess;
import org.gooseberryhill.steward.StewardSettings;
import org.gooseberryhill.store.StoreProcess;

/**
 * A small but complete system with its stand-ins in one process, for the demo, experiments and tests. Not thread-safe.
 *
 * <p>It has three availability zones with one entry, one steward and one store each.
 */
public final class SampleSystem implements Closeable {
    /** Number of hosts of each role. */
    public static final int HOSTS_PER_ROLE = 3;

    private static final long LEASE_MILLIS = 3000;
    private static final long JOB_SCAN_PERIOD_MILLIS = 1000;
    private static final long REPAIR_PERIOD_MILLIS = 1000;

    private final SampleFleet fleet;
    private final Path folder;
    private final boolean baseline;
    private final SamplePlatform platform;
    private final List<EntryProcess> entries = new ArrayList<>();
    private final List<StewardProcess> stewards = new ArrayList<>();
    private final List<StoreProcess> stores = new ArrayList<>();

    /**
     * Starts the stand-ins and all hosts.
     *
     * @param fleet the addresses of the hosts and stand-ins
     * @param speed the speed of the engine stand-ins
     * @param folder where the stores' data and the timeline logs are written
     * @param baseline whether the baseline's policies are used instead of the product's
     */
    public SampleSystem(SampleFleet fleet, EngineSpeed speed, Path folder, boolean baseline) {
        this.fleet = fleet;
        this.folder = folder;
        this.baseline = baseline;
        platform = new SamplePlatform(fleet, speed, HOSTS_PER_ROLE, HOSTS_PER_ROLE, HOSTS_PER_ROLE);
        applyConfiguration(fleet.configuration());
        for (int i = 0; i < HOSTS_PER_ROLE; i++) {
            stores.add(startStore(i));
            stewards.add(startSteward(i));
            entries.add(startEntry(i));
        }
    }

    /** Starts an entry by its number, counted from 0; also restarts one that was stopped. */
    public EntryProcess startEntry(int number) {
        EntrySettings settings = new EntrySettings(
                fleet.entryHttp(number),
                HttpLimits.DEFAULT,
                4 * 1024 * 1024,
                300_000,
                64 * 1024,
                120_000,
                15_000,
                baseline ? OnlinePolicies.baseline() : OnlinePolicies.defaults());
        EntryProcess entry = new EntryProcess(hostSettings(fleet.entry(number)), settings, number);
        entry.start();
        return entry;
    }

    /** Starts a steward by its number, counted from 0. */
    public StewardProcess startSteward(int number) {
        BatchSlotPolicy slots = baseline ? new FixedSlotsPolicy() : new LeftoverSlotsPolicy(StewardMain.RESERVE_SHARE);
        DispatchOrder order = baseline ? new FirstComeFirstServedOrder() : new EarliestDeadlineFairOrder();
        StewardSettings settings =
                new StewardSettings(slots, order, 500, 15_000, 60_000, JOB_SCAN_PERIOD_MILLIS, 2000, 2);
        StewardProcess steward = new StewardProcess(hostSettings(fleet.steward(number)), settings, number);
        steward.start();
        return steward;
    }

    /** Starts a store by its number, counted from 0; its data folder remains after it is closed. */
    public StoreProcess startStore(int number) {
        StoreProcess store =
                new StoreProcess(hostSettings(fleet.store(number)), storeFolder(number), REPAIR_PERIOD_MILLIS, number);
        store.start();
        return store;
    }

    /** Returns the folder in which a store keeps its segments. */
    public Path storeFolder(int number) {
        return folder.resolve("store-" + number);
    }

    /** Returns the folder to which the timeline logs are written. */
    public Path timelineFolder() {
        return folder.resolve("timeline");
    }

    /** Applies a configuration text in place of the current one. */
    public void applyConfiguration(String text) {
        try (PlatformOptions.Connection connection = new PlatformOptions.Connection(fleet.keyValue())) {
            ConfigurationEditor editor = new ConfigurationEditor(connection.keyValue());
            long base = editor.read()
                    .map(ConfigurationEditor.StoredRecord::revision)
                    .orElse(0L);
            ConfigurationEdit.Step step = editor.apply(text, "sample", base);
            if (step != ConfigurationEdit.Step.ACCEPTED) {
                throw new IllegalStateException("the sample configuration was not accepted: " + step);
            }
        }
    }

    /** Creates a client that calls an entry with a caller's key. */
    public EntryClient client(int entry, String key) {
        return new EntryClient(fleet.entryHttp(entry), key);
    }

    /** Returns the addresses of the hosts and stand-ins. */
    public SampleFleet fleet() {
        return fleet;
    }

    /** Returns the stand-ins of the platform and the endpoints. */
    public SamplePlatform platform() {
        return platform;
    }

    /** Returns the entries that the constructor started. */
    public List<EntryProcess> entries() {
        return entries;
    }

    /** Returns the stewards that the constructor started. */
    public List<StewardProcess> stewards() {
        return stewards;
    }

    /** Returns the stores that the constructor started. */
    public List<StoreProcess> stores() {
        return stores;
    }

    @Override
    public void close() {
        entries.forEach(EntryProcess::close);
        stewards.forEach(StewardProcess::close);
        stores.forEach(StoreProcess::close);
        platform.close();
    }

    private HostSettings hostSettings(Host self) {
        return new HostSettings(
                self,
                fleet.keyValue(),
                fleet.hostList(),
                1000,
                500,
                LEASE_MILLIS,
                500,
                30_000,
                Optional.of(timelineFolder()));
    }
}
