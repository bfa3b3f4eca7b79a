package org.gooseberryhill.gateway;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.decision.dispatch.EndpointSpeeds;
import org.gooseberryhill.decision.dispatch.SpeedChange;
import org.gooseberryhill.decision.dispatch.SpeedClass;
import org.gooseberryhill.decision.dispatch.SpeedClasses;
import org.gooseberryhill.timeline.EventKind;

/**
 * Logs and counts changes in how fast the endpoints are that this host coordinates. Confined to the control thread; the
 * gauges may be read from any thread.
 */
final class EndpointSpeedLog {
    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final GatewayContext context;
    private final EndpointSpeeds speeds;
    private final SpeedClasses classes = new SpeedClasses();
    private long lastUpdateNanos;
    private volatile int slowEndpoints;
    private volatile int fastEndpoints;

    EndpointSpeedLog(GatewayContext context, EndpointSpeeds speeds) {
        this.context = context;
        this.speeds = speeds;
        this.lastUpdateNanos = context.nowNanos();
        context.metrics()
                .gauge("gooseberry_endpoints_slow", "Slow endpoints that this host coordinates", () -> slowEndpoints);
        context.metrics()
                .gauge("gooseberry_endpoints_fast", "Fast endpoints that this host coordinates", () -> fastEndpoints);
    }

    /** Logs the changes since the last second; called several times a second. */
    void tick() {
        long nowNanos = context.nowNanos();
        if (nowNanos - lastUpdateNanos < PERIOD_NANOS) {
            return;
        }
        lastUpdateNanos = nowNanos;
        classes.update(speeds.observed(nowNanos)).forEach(this::log);
        slowEndpoints = classes.count(SpeedClass.SLOW);
        fastEndpoints = classes.count(SpeedClass.FAST);
    }

    private void log(SpeedChange change) {
        context.metrics().endpointSpeedChanged(change.to());
        context.timeline()
                .event(EventKind.ENDPOINT_SPEED)
                .endpoint(change.endpoint().id())
                .with("from", name(change.from()))
                .with("to", name(change.to()))
                .with("durationPercent", Math.round(100 * change.relativeDuration()))
                .write();
    }

    private static String name(SpeedClass speedClass) {
        return speedClass.name().toLowerCase(Locale.ROOT);
    }
}
