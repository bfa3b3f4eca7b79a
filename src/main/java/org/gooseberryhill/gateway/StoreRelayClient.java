package org.gooseberryhill.gateway;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhill.external.ExternalServiceException;
import org.gooseberryhill.external.ExternalServiceException.Kind;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.peer.GatewayMessage;
import org.gooseberryhill.peer.PeerMessage;

/** Relays calls to the key-value store through other hosts while this host can't reach it. Thread-safe. */
final class StoreRelayClient {
    private final GatewayContext context;
    private final PeerLinks links;
    private final Random random;

    StoreRelayClient(GatewayContext context, PeerLinks links, Random random) {
        this.context = context;
        this.links = links;
        this.random = random;
    }

    /** Sends a call through a gateway that reaches the store; fails with kind {@code NOT_DONE} if there is none. */
    CompletableFuture<PeerMessage> relay(GatewayMessage.StoreCall call, long timeoutMillis) {
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        context.loop().execute(() -> {
            List<Host> relayHosts = links.gatewaysReachingKeyValueStore();
            if (relayHosts.isEmpty()) {
                answer.completeExceptionally(
                        new ExternalServiceException(Kind.NOT_DONE, "no other gateway reaches the key-value store"));
                return;
            }
            Host relayHost = relayHosts.get(random.nextInt(relayHosts.size()));
            links.ask(relayHost, call, timeoutMillis).whenComplete((reply, failure) -> {
                if (failure == null) {
                    answer.complete(reply);
                } else {
                    answer.completeExceptionally(failure);
                }
            });
        });
        return answer;
    }
}
