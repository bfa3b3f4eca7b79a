package org.gooseberryhill.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.Lazy;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhill.account.Caller;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Fingerprint;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.access.BatchAccess;
import org.gooseberryhill.decision.access.CallerAuthentication;
import org.gooseberryhill.decision.dispatch.RoutedRequestInfo;
import org.gooseberryhill.decision.memory.AnswerKind;
import org.gooseberryhill.dialect.BatchApiCall;
import org.gooseberryhill.dialect.RequestMetadata;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.http.BodyCollector;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.http.RequestBodyHandler;
import org.gooseberryhill.route.Route;
import org.gooseberryhill.route.RouteKind;
import org.gooseberryhill.route.RouteTable;
import org.gooseberryhill.route.RouteTarget;
import org.gooseberryhill.timeline.EventKind;

/** Dispatches the calls of callers to their routes or to the batch API. Thread-safe. */
final class RequestRouter {
    private static final long NO_CONFIGURATION_RETRY_AFTER_MILLIS = 500;

    private static final Refusal NO_CONFIGURATION_REFUSAL =
            Refusal.notRun(ErrorCode.NO_ENDPOINT, "no configuration is known yet", NO_CONFIGURATION_RETRY_AFTER_MILLIS);

    /** Another host may be able to tell; most inquiries end within this time. */
    private static final long UNKNOWN_ORIGIN_RETRY_AFTER_MILLIS = 50;

    private static final Refusal UNKNOWN_ORIGIN_REFUSAL = Refusal.notRun(
            ErrorCode.NO_ENDPOINT,
            "it is not certain which version began the stream",
            UNKNOWN_ORIGIN_RETRY_AFTER_MILLIS);

    /** Deadline of a request whose caller sets none, on a route without a timeout. */
    private static final long DEFAULT_DEADLINE_MILLIS = 60_000;

    private final GatewayContext context;
    private final GatewayTraffic traffic;
    private final BatchSubmissionHandler submissionHandler;
    private final BatchApiHandler batchApiHandler;
    private final StartGate gate;
    private final HeldBytesGuard heldBytesGuard;
    private final Random random;
    private volatile RouteTable table = RouteTable.EMPTY;

    RequestRouter(
            GatewayContext context,
            GatewayTraffic traffic,
            BatchSubmissionHandler submissionHandler,
            BatchApiHandler batchApiHandler,
            StartGate gate,
            Random random) {
        this.context = context;
        this.traffic = traffic;
        this.submissionHandler = submissionHandler;
        this.batchApiHandler = batchApiHandler;
        this.gate = gate;
        this.heldBytesGuard = new HeldBytesGuard(context.http().heldBytes());
        this.random = random;
    }

    /** Puts a configuration into force. */
    void configure(RouteTable newTable) {
        table = newTable;
    }

    /** Inspects the head of a call and returns the consumer of its body. */
    RequestBodyHandler route(HttpCall call) {
        long arrivedNanos = context.nowNanos();
        RouteTable current = table;
        call.setLastAnswer(() -> refuse(call, requestId(call), GatewayTraffic.STOPPING_REFUSAL));
        int maxBytes = current.configuration().limits().maxBodyBytes();
        Optional<BatchApiCall> batchApiCall = context.dialects().batches().parseCall(call);
        AnswerKind answerKind =
                batchApiCall.filter(RequestRouter::readsBatch).isPresent() ? AnswerKind.BATCH_READ : AnswerKind.PLAIN;
        call.setAnswerKind(answerKind);
        Optional<Refusal> refusal = heldBytesGuard.refusal(call, answerKind);
        if (refusal.isPresent()) {
            return refuseUnread(call, refusal.get());
        }
        if (batchApiCall.isPresent()) {
            return readBody(call, maxBytes, body -> runOrHold(() -> handleBatchApiCall(call, batchApiCall.get())));
        }
        RequestMetadata metadata = context.dialects().traffic().parseRequest(call.headers());
        return readBody(call, maxBytes, body -> runOrHold(() -> routeNow(call, metadata, body, arrivedNanos)));
    }

    private void handleBatchApiCall(HttpCall call, BatchApiCall batchApiCall) {
        RouteTable current = table;
        if (current.configuration().isEmpty()) {
            refuse(call, "", NO_CONFIGURATION_REFUSAL);
            return;
        }
        Either<Refusal, Caller> caller = authenticate(call, current, false);
        if (caller.isLeft() && current.hasAnonymousBatches(host(call))) {
            caller = Either.right(Caller.ANONYMOUS);
        }
        caller.peek(found -> batchApiHandler.handle(call, batchApiCall, BatchAccess.of(found)))
                .peekLeft(refusal -> refuse(call, "", refusal));
    }

    private Either<Refusal, Caller> authenticate(HttpCall call, RouteTable current, boolean anonymous) {
        Optional<String> key = context.dialects().traffic().accountKey(call.headers());
        return CallerAuthentication.authenticate(current.accounts(), key, anonymous);
    }

    /** Handles a call at once, or as soon as the configuration is known, if that is likely to be soon. */
    private void runOrHold(Runnable action) {
        if (gate.isOpen()) {
            action.run();
            return;
        }
        context.loop().execute(() -> {
            boolean accepted = gate.runOrHold(action, context.nowNanos());
            if (!accepted) {
                action.run();
            }
        });
    }

    private void routeNow(HttpCall call, RequestMetadata metadata, byte[] body, long arrivedNanos) {
        RouteTable current = table;
        String id = metadata.id().orElse("");
        if (current.configuration().isEmpty()) {
            refuse(call, id, NO_CONFIGURATION_REFUSAL);
            return;
        }
        Optional<Route> route = current.find(host(call), call.target());
        if (route.isEmpty()) {
            refuse(call, id, Refusal.notRun(ErrorCode.NOT_FOUND, "no route takes this host and path"));
            return;
        }
        Either<Refusal, Caller> caller = authenticate(call, current, route.get().anonymous());
        if (caller.isLeft()) {
            refuse(call, id, caller.getLeft());
            return;
        }
        if (id.isEmpty()) {
            refuse(call, id, Refusal.notRun(ErrorCode.INVALID_REQUEST, "the request has no id"));
            return;
        }
        if (route.get().kind() == RouteKind.BATCH) {
            submissionHandler.submit(call, id, route.get(), caller.get(), body, arrivedNanos);
            return;
        }
        Arrival arrival = new Arrival(call, id, metadata, route.get(), caller.get(), body, arrivedNanos);
        if (arrival.resumesStream()) {
            context.loop().execute(() -> resumeStream(arrival));
        } else {
            start(arrival, chooseService(route.get()), Optional.empty());
        }
    }

    /** Continues a stream at the service and the version that began it, once these are certain. */
    private void resumeStream(Arrival arrival) {
        List<String> services = arrival.route.services();
        Optional<String> onlyService = services.size() == 1 ? Optional.of(services.get(0)) : Optional.empty();
        traffic.streamOrigins().find(arrival.metadata.firstRequestId(), onlyService, found -> {
            Optional<ServiceVersion> beganAt = found.filter(version -> services.contains(version.service()));
            if (beganAt.isEmpty()) {
                refuse(arrival.call, arrival.id, UNKNOWN_ORIGIN_REFUSAL);
                return;
            }
            start(arrival, beganAt.get().service(), beganAt);
        });
    }

    private void start(Arrival arrival, String service, Optional<ServiceVersion> beganAt) {
        HttpCall call = arrival.call;
        if (arrival.route.kind() == RouteKind.STREAM) {
            call.setAnswerKind(AnswerKind.STREAM);
        }
        RoutedRequestInfo requestInfo = new RoutedRequestInfo(
                arrival.id,
                arrival.route,
                service,
                arrival.caller,
                arrival.metadata.prompt(),
                beganAt,
                Lazy.of(() -> Fingerprint.of(call.method() + " " + host(call) + call.target(), arrival.body)),
                arrival.arrivedNanos,
                arrival.arrivedNanos + TimeUnit.MILLISECONDS.toNanos(deadlineMillis(arrival.metadata, arrival.route)));
        new RoutedCall(context, traffic, call, arrival.metadata, requestInfo, arrival.body).start();
    }

    private String chooseService(Route route) {
        int total = route.targets().stream().mapToInt(RouteTarget::weight).sum();
        int drawn = total > 0 ? random.nextInt(total) : 0;
        for (RouteTarget target : route.targets()) {
            drawn -= target.weight();
            if (drawn < 0) {
                return target.service();
            }
        }
        return route.targets().get(0).service();
    }

    private RequestBodyHandler readBody(HttpCall call, int maxBytes, Consumer<byte[]> onBody) {
        return new BodyCollector(
                maxBytes,
                onBody,
                () -> refuse(
                        call, "", Refusal.notRun(ErrorCode.TOO_LARGE, "the body has more than " + maxBytes + " bytes")),
                heldBytesGuard::mayHoldMore,
                () -> refuse(call, "", heldBytesGuard.bodyRefusal()));
    }

    /** Refuses a request at once; without a body, its end has to be read first, so that the connection stays open. */
    private RequestBodyHandler refuseUnread(HttpCall call, Refusal refusal) {
        String id = requestId(call);
        boolean hasBody = HeldBytesGuard.bodyBytes(call.headers()).orElse(1) > 0;
        if (hasBody) {
            refuse(call, id, refusal);
        }
        return new BodyCollector(0, body -> refuse(call, id, refusal), () -> {});
    }

    private String requestId(HttpCall call) {
        return context.dialects().traffic().parseRequest(call.headers()).id().orElse("");
    }

    private static boolean readsBatch(BatchApiCall batchApiCall) {
        return batchApiCall instanceof BatchApiCall.ReadResults || batchApiCall instanceof BatchApiCall.ReadItem;
    }

    private void refuse(HttpCall call, String id, Refusal refusal) {
        context.timeline()
                .event(EventKind.REQUEST_REFUSED)
                .request(id)
                .with("code", refusal.code().wireName())
                .with("reason", refusal.message())
                .with("host", host(call))
                .with("prefix", firstSegment(call.path()))
                .with("configuration", table.configuration().version())
                .write();
        traffic.refuse(call, id, refusal);
    }

    private static String host(HttpCall call) {
        return call.headers().get(HttpHeaderNames.HOST, "");
    }

    /** Returns the part of a path that may name a route; the rest may be data of the caller. */
    private static String firstSegment(String path) {
        int end = path.indexOf('/', 1);
        return end < 0 ? path : path.substring(0, end + 1);
    }

    private static long deadlineMillis(RequestMetadata metadata, Route route) {
        long timeoutMillis = route.timeoutMillis() > 0 ? route.timeoutMillis() : DEFAULT_DEADLINE_MILLIS;
        return Math.max(0, Math.min(metadata.deadlineMillis().orElse(timeoutMillis), timeoutMillis));
    }

    /** A complete request of a caller on one of the routes for single requests. */
    private record Arrival(
            HttpCall call,
            String id,
            RequestMetadata metadata,
            Route route,
            Caller caller,
            byte[] body,
            long arrivedNanos) {
        boolean resumesStream() {
            return route.kind() == RouteKind.STREAM && metadata.lastEventId().orElse(0L) > 0;
        }
    }
}
