package org.gooseberryhill.gateway;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.timeline.EventKind;

/**
 * Finds out whether an endpoint whose connections were lost has crashed, by connecting to it: a crashed endpoint refuses, while one
 * whose connections were reset on the way accepts. Confined to the control thread.
 *
 * <p>Invariant: at most one connection is made to an endpoint at a time.
 */
final class EndpointCrashCheck {
    /** A refusal takes a round trip; a connection attempt that takes longer tells nothing. */
    private static final int CONNECT_TIMEOUT_MILLIS = 100;

    private final GatewayContext context;
    private final Map<EndpointKey, List<Consumer<Boolean>>> waiting = new HashMap<>();

    EndpointCrashCheck(GatewayContext context) {
        this.context = context;
    }

    /** Checks an endpoint; the receiver gets whether it has crashed, false if that is not certain. */
    void check(EndpointEntry endpoint, Consumer<Boolean> receiver) {
        List<Consumer<Boolean>> receivers = waiting.get(endpoint.key());
        if (receivers != null) {
            receivers.add(receiver);
            return;
        }
        waiting.put(endpoint.key(), new ArrayList<>(List.of(receiver)));
        long startedNanos = context.nowNanos();
        context.onLoop(
                context.http().openIdleConnection(endpoint.address(), CONNECT_TIMEOUT_MILLIS),
                (done, failure) -> onChecked(endpoint, Optional.ofNullable(failure), startedNanos));
    }

    private void onChecked(EndpointEntry endpoint, Optional<Throwable> failure, long startedNanos) {
        boolean crashed = failure.filter(EndpointCrashCheck::isRefusal).isPresent();
        List<Consumer<Boolean>> receivers = waiting.remove(endpoint.key());
        context.timeline()
                .event(EventKind.ENDPOINT_CHECKED)
                .endpoint(endpoint.id())
                .with("crashed", crashed)
                .with("detail", failure.map(Throwable::getMessage).orElse("accepts connections"))
                .with("lostRequests", receivers.size())
                .with("millis", TimeUnit.NANOSECONDS.toMillis(context.nowNanos() - startedNanos))
                .write();
        receivers.forEach(receiver -> receiver.accept(crashed));
    }

    private static boolean isRefusal(Throwable failure) {
        return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
    }
}
