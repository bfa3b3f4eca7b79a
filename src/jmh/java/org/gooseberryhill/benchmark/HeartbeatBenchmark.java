package org.gooseberryhill.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.decision.membership.Membership;
import org.gooseberryhill.decision.membership.MembershipCommands;
import org.gooseberryhill.decision.membership.MembershipSettings;
import org.gooseberryhill.decision.membership.Rumor;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.zone.AvailabilityZone;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures one heartbeat period of one host: its ticks, and its probes with their replies. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class HeartbeatBenchmark implements MembershipCommands {
    private static final int TICKS_PER_PERIOD = 8;
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    @Param({"9", "95", "380"})
    private int hosts;

    private Membership membership;
    private long nowNanos;

    /** Creates the membership view. */
    @Setup
    public void setUp() {
        List<Host> all = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            all.add(new Host(
                    new HostId("h" + i), Role.ENTRY, new AvailabilityZone("a"), new Address("10.0.0.1", 1 + i), false));
        }
        membership = new Membership(new HostId("h0"), MembershipSettings.DEFAULT, new Random(1));
        membership.updateCandidates(all, 0);
    }

    /** Executes the ticks of one period. */
    @Benchmark
    public long period() {
        for (int tick = 0; tick < TICKS_PER_PERIOD; tick++) {
            nowNanos += TICK_NANOS;
            membership.tick(nowNanos, this);
        }
        return membership.version();
    }

    @Override
    public void probe(Host target, long incarnation, List<Rumor> rumors) {
        membership.recordContact(target.id(), 0, false, List.of(), nowNanos);
    }

    @Override
    public void probeIndirectly(Host helper, Host target) {
        membership.recordIndirectReply(target.id(), nowNanos);
    }
}
