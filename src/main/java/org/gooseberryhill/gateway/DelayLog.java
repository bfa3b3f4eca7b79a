package org.gooseberryhill.gateway;

import java.util.concurrent.Executor;
import org.gooseberryhill.timeline.EventKind;

/** Logs that a thread of the process was delayed. Confined to the control thread unless stated otherwise. */
final class DelayLog {
    private final GatewayContext context;
    private final ProcessDelayDetector processDelayDetector;
    private final TrafficDelayDetector trafficDelayDetector;

    /**
     * Creates a log.
     *
     * @param trafficExecutor runs tasks on the traffic thread
     * @param tickPeriodMillis the period in which {@link #tick} is called
     */
    DelayLog(GatewayContext context, Executor trafficExecutor, long tickPeriodMillis) {
        this.context = context;
        this.processDelayDetector = new ProcessDelayDetector(tickPeriodMillis);
        this.trafficDelayDetector = new TrafficDelayDetector(trafficExecutor, System::nanoTime, this::trafficDelayed);
    }

    /** Logs a delay of the control thread since the last call. */
    void tick() {
        processDelayDetector
                .tick(context.nowNanos(), System.currentTimeMillis())
                .ifPresent(delay -> context.timeline()
                        .event(EventKind.PROCESS_DELAYED)
                        .with("thread", "control")
                        .with("millis", delay.millis())
                        .with("suspendedMillis", delay.suspendedMillis())
                        .write());
    }

    /** Measures how late the traffic thread is, and logs a delay. */
    void measureTraffic() {
        trafficDelayDetector.measure();
    }

    /** Called on the traffic thread. */
    private void trafficDelayed(long millis) {
        context.timeline()
                .event(EventKind.PROCESS_DELAYED)
                .with("thread", "traffic")
                .with("millis", millis)
                .write();
    }
}
