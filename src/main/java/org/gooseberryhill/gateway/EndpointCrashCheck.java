package org.gooseberryhill.gateway;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.timeline.EventKind;

/**
 * Finds out whether an endpoint whose connections were lost has crashed, by connecting to it: a crashed endpoint refuses, while one
 * whose connections were reset on the way accepts. Confined to the control thread.
 */
final class EndpointCrashCheck {
    /** A refusal takes a round trip; a connection attempt that takes longer tells nothing. */
    private static final int CONNECT_TIMEOUT_MILLIS = 100;

    private final GatewayContext context;

    EndpointCrashCheck(GatewayContext context) {
        this.context = context;
    }

    /** Checks an endpoint; the receiver gets whether it has crashed, false if that is not certain. */
    void check(EndpointEntry endpoint, Consumer<Boolean> receiver) {
        long startedNanos = context.nowNanos();
        context.onLoop(
                context.http().openIdleConnection(endpoint.address(), CONNECT_TIMEOUT_MILLIS), (done, failure) -> {
                    boolean crashed = isRefusal(failure);
                    logChecked(endpoint, Optional.ofNullable(failure), startedNanos);
                    receiver.accept(crashed);
                });
    }

    private void logChecked(EndpointEntry endpoint, Optional<Throwable> failure, long startedNanos) {
        context.timeline()
                .event(EventKind.ENDPOINT_CHECKED)
                .endpoint(endpoint.id())
                .with("crashed", failure.filter(EndpointCrashCheck::isRefusal).isPresent())
                .with("detail", failure.map(Throwable::getMessage).orElse("accepts connections"))
                .with("millis", TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - startedNanos))
                .write();
    }

    private static boolean isRefusal(Throwable failure) {
        return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
    }
}
