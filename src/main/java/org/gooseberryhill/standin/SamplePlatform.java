package org.gooseberryhill.standin;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs all stand-ins of a sample fleet in one process. Thread-safe once created. */
public final class SamplePlatform implements Closeable {
    private static final int THREADS = 2;
    private static final int PLAIN_ENDPOINTS = 3;
    private static final int WEIGHT_READS_PER_MINUTE = 60;
    private static final long SHUTDOWN_MILLIS = 500;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    private final KeyValueStandin keyValue;
    private final HostListStandin hostList;
    private final WeightStoreStandin weightStore;
    private final List<EngineStandin> engines = new ArrayList<>();
    private final List<PlainServiceStandin> plainServices = new ArrayList<>();

    /** Starts all stand-ins of a fleet; the host list contains the given number of hosts of each role. */
    public SamplePlatform(SampleFleet fleet, EngineSpeed speed, int entries, int stewards, int stores) {
        keyValue = new KeyValueStandin(group, fleet.keyValue());
        hostList = new HostListStandin(group, fleet.hostList(), 0);
        hostList.setHosts(fleet.hosts(entries, stewards, stores));
        weightStore = new WeightStoreStandin(group, fleet.weightStore(), WEIGHT_READS_PER_MINUTE);
        for (int i = 0; i < fleet.engineCount(); i++) {
            EngineStandin engine = new EngineStandin(group, fleet.engine(i), speed);
            engine.setLoadedModel(SampleFleet.MODEL);
            engines.add(engine);
        }
        for (int i = 0; i < PLAIN_ENDPOINTS; i++) {
            plainServices.add(new PlainServiceStandin(group, fleet.plainService(i)));
        }
    }

    /** Returns the stand-in of the key-value store. */
    public KeyValueStandin keyValue() {
        return keyValue;
    }

    /** Returns the stand-in of the host list. */
    public HostListStandin hostList() {
        return hostList;
    }

    /** Returns the engine stand-ins. */
    public List<EngineStandin> engines() {
        return engines;
    }

    /** Returns the stand-ins of the booking app, a plain service. */
    public List<PlainServiceStandin> plainServices() {
        return plainServices;
    }

    @Override
    public void close() {
        engines.forEach(EngineStandin::close);
        plainServices.forEach(PlainServiceStandin::close);
        weightStore.close();
        hostList.close();
        keyValue.close();
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly(2 * SHUTDOWN_MILLIS);
    }
}
