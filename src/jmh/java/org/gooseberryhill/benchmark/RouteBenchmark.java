package org.gooseberryhill.benchmark;

import io.vavr.control.Either;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.configuration.ConfigurationReader;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.online.OnlineCore;
import org.gooseberryhill.decision.online.OnlineDecision;
import org.gooseberryhill.decision.online.OnlinePolicies;
import org.gooseberryhill.decision.online.OnlineRequest;
import org.gooseberryhill.decision.online.OnlineRequestInfo;
import org.gooseberryhill.decision.quarantine.CrashSuspects;
import org.gooseberryhill.zone.AvailabilityZone;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the admission, routing and end of one online request in services of different sizes. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RouteBenchmark {
    @Param({"12", "130", "520", "2600"})
    private int endpoints;

    private OnlineCore core;
    private OnlineRequestInfo[] requestInfos;
    private int nextRequestInfo;

    /** Creates the decision core and the requests. */
    @Setup
    public void setUp() {
        StringBuilder text =
                new StringBuilder("models: {m: {version: \"1\"}}\nservices: {s: {model: m}}\nendpoints:\n");
        for (int i = 0; i < endpoints; i++) {
            text.append(
                    "  e%d: {service: s, address: \"10.0.0.1:%d\", zone: z%d, slots: 8}%n".formatted(i, 1 + i, i % 4));
        }
        core = new OnlineCore(new AvailabilityZone("z1"), OnlinePolicies.defaults(), new CrashSuspects(600_000, 1000));
        core.configure(ConfigurationReader.read("benchmark", text.toString()).get());
        requestInfos = new OnlineRequestInfo[1024];
        for (int i = 0; i < requestInfos.length; i++) {
            requestInfos[i] = new OnlineRequestInfo(
                    "r" + i, "c", "s", new Fingerprint("f" + i), i % 2 == 0 ? 0 : i * 31L, true, Long.MAX_VALUE / 2);
        }
    }

    /** Processes one request from its arrival to its end. */
    @Benchmark
    public OnlineDecision admitRouteAndEnd() {
        Either<Refusal, OnlineRequest> admitted = core.admit(requestInfos[nextRequestInfo++ & 1023], 0);
        OnlineRequest request = admitted.get();
        OnlineDecision decision = core.next(request, 0);
        core.attemptSucceeded(request, 1_000_000);
        core.finished(request);
        return decision;
    }
}
