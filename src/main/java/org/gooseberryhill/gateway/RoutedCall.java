package org.gooseberryhill.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.continuation.StreamOrigin;
import org.gooseberryhill.decision.dispatch.Admission;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.AttemptTiming;
import org.gooseberryhill.decision.dispatch.DispatchDecision;
import org.gooseberryhill.decision.dispatch.OverloadFacts;
import org.gooseberryhill.decision.dispatch.PlacementAnswer;
import org.gooseberryhill.decision.dispatch.PlacementFacts;
import org.gooseberryhill.decision.dispatch.RoutedRequest;
import org.gooseberryhill.decision.dispatch.RoutedRequestInfo;
import org.gooseberryhill.decision.drain.PlannedStop;
import org.gooseberryhill.decision.promptpart.PermitAnswer;
import org.gooseberryhill.dialect.RequestMetadata;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.directory.ServiceVersion;
import org.gooseberryhill.http.BodyFraming;
import org.gooseberryhill.http.Exchange;
import org.gooseberryhill.http.ExchangeRequest;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.route.RouteKind;
import org.gooseberryhill.timeline.EventBuilder;
import org.gooseberryhill.timeline.EventKind;

/**
 * Handles one routed request. Decisions run on the control thread, answers on traffic threads.
 *
 * <p>Invariant: the caller gets one final answer; a disconnect of the caller or the request's deadline cancels the
 * attempt at once, so that no endpoint works for a caller that no longer waits.
 */
final class RoutedCall {
    /** Value that logs and metrics give as the end of a request whose caller got an endpoint's answer. */
    static final String ANSWERED = "answered";

    private static final int OK = 200;

    private final GatewayContext context;
    private final GatewayTraffic traffic;
    private final HttpCall call;
    private final RequestMetadata metadata;
    private final RoutedRequest request;
    private final AnswerRelay relay;
    private final RequestAdmission admission;
    private final RoutedCallLog log;
    private final AttemptRequests attemptRequests;
    /** Present while an attempt is in progress; written on the control thread only. */
    private volatile Optional<Exchange> exchange = Optional.empty();

    private volatile boolean callerGone;

    private final CancellableTask deadlineTask = new CancellableTask(this::deadlineExceeded);
    private boolean finished;
    private long attemptNumber;

    RoutedCall(
            GatewayContext context,
            GatewayTraffic traffic,
            HttpCall call,
            RequestMetadata metadata,
            RoutedRequestInfo requestInfo,
            byte[] body) {
        this.context = context;
        this.traffic = traffic;
        this.call = call;
        this.metadata = metadata;
        this.request = context.core().newRequest(requestInfo);
        this.relay = new AnswerRelay(
                call,
                requestInfo.route(),
                context.dialects().traffic(),
                metadata.lastEventId(),
                context.http().heldBytes());
        this.admission = new RequestAdmission(traffic.slots(), request);
        this.attemptRequests = new AttemptRequests(context.dialects().traffic(), call, body);
        this.log = new RoutedCallLog(context, traffic, request, metadata.firstRequestId());
    }

    /** Starts the request; may be called from any thread. */
    void start() {
        context.loop().execute(this::startOnControlThread);
    }

    private void startOnControlThread() {
        traffic.requestStarted();
        call.setLastAnswer(this::hostEnds);
        call.onDisconnect(this::cancelForDisconnect);
        long remainingNanos = request.info().deadlineNanos() - context.nowNanos();
        long remainingMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos));
        context.loop().after(remainingMillis, deadlineTask);
        if (!context.stop().acceptsRequest(remainingMillis, context.nowNanos())) {
            refuse(GatewayTraffic.STOPPING_REFUSAL, Optional.empty());
            return;
        }
        applyDecision(context.core().dispatch(request, context.nowNanos()));
    }

    private void applyDecision(DispatchDecision decision) {
        if (decision instanceof DispatchDecision.Send send) {
            if (!send.assigned()) {
                traffic.slots().onlineStarted(send.endpoint().key());
            }
            send(send.endpoint(), send.facts(), send.assigned());
        } else if (decision instanceof DispatchDecision.AskGroup ask) {
            admission.asked(traffic.slots().coordinator(ask.group()));
            traffic.slots().place(ask.group(), ask.query(), this::placementAnswered);
        } else if (decision instanceof DispatchDecision.AskPermit ask) {
            traffic.permits().ask(ask.parts(), ask.confined(), ask.endpoints(), this::permitAnswered);
        } else if (decision instanceof DispatchDecision.AskAdmission ask) {
            traffic.slots().admissions().ask(ask.account(), this::admissionAnswered);
        } else if (decision instanceof DispatchDecision.Wait wait) {
            context.loop().after(wait.millis(), this::dispatchAfterWait);
        } else if (decision instanceof DispatchDecision.Refuse refuse) {
            refuse(refuse.refusal(), refuse.overload());
        }
    }

    private void placementAnswered(Optional<PlacementAnswer> answer) {
        answer.ifPresent(admission::answered);
        Optional<EndpointKey> assigned = answer.filter(PlacementAnswer.Placed.class::isInstance)
                .map(placed -> ((PlacementAnswer.Placed) placed).endpoint());
        if (finished) {
            assigned.ifPresent(this::returnSlot);
            return;
        }
        DispatchDecision decision = answer.map(
                        given -> context.core().placementAnswered(request, given, context.nowNanos()))
                .orElseGet(() -> context.core().placeWithoutAnswer(request, context.nowNanos()));
        assigned.filter(endpoint -> !request.endpoint().equals(Optional.of(endpoint)))
                .ifPresent(this::returnSlot);
        applyDecision(decision);
    }

    private void permitAnswered(PermitAnswer answer) {
        if (finished) {
            answer.permit().ifPresent(traffic.permits()::release);
            return;
        }
        applyDecision(context.core().permitAnswered(request, answer, context.nowNanos()));
    }

    private void admissionAnswered(Optional<Admission> answer) {
        if (!finished) {
            applyDecision(context.core().admissionAnswered(request, answer, context.nowNanos()));
        }
    }

    private void returnSlot(EndpointKey endpoint) {
        traffic.slots().onlineEnded(endpoint, AttemptEnd.DROPPED, AttemptTiming.ofDuration(0));
    }

    private void dispatchAfterWait() {
        if (!finished) {
            applyDecision(context.core().dispatchAfterWait(request, context.nowNanos()));
        }
    }

    private void send(EndpointEntry endpoint, PlacementFacts facts, boolean assigned) {
        attemptNumber++;
        log.attemptSent(endpoint, attemptNumber, relay.lastEventId(), facts, assigned);
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(request.info().deadlineNanos() - context.nowNanos());
        if (callerGone) {
            return;
        }
        ExchangeRequest exchangeRequest =
                attemptRequests.to(endpoint, request.info(), relay.lastEventId(), remainingMillis);
        Exchange started = context.http()
                .start(exchangeRequest, relay.newAttemptListener(this, attemptNumber, endpoint.serviceVersion()));
        exchange = Optional.of(started);
        if (callerGone) {
            started.cancel();
        }
        if (request.info().route().kind() == RouteKind.STREAM) {
            new SilenceWatch(context, started, () -> isInProgress(started), this::canFailOver).start();
        }
    }

    private boolean isInProgress(Exchange attempt) {
        return !finished && exchange.filter(attempt::equals).isPresent();
    }

    private boolean canFailOver() {
        recordAnswerStart();
        return context.core().canFailOver(request, context.nowNanos());
    }

    private void recordAnswerStart() {
        if (relay.isStarted()) {
            request.answerStarted();
        }
    }

    /** Handles an attempt whose complete answer was sent to the caller. May be called from any thread. */
    void attemptSucceeded(long attempt, int status, AnswerProgress progress) {
        context.loop().execute(() -> {
            if (finished || attempt != attemptNumber) {
                return;
            }
            exchange = Optional.empty();
            recordAttemptEnd(AttemptEnd.ANSWERED, progress.eventNanos());
            traffic.crashTracking().requestCompleted(request.info());
            recordServedParts(status, progress);
            context.core().attemptSucceeded(request, context.nowNanos());
            EventBuilder event = context.timeline()
                    .event(EventKind.REQUEST_ENDED)
                    .with("end", ANSWERED)
                    .with("status", status);
            progress.addTo(event);
            finish(ANSWERED, event);
        });
    }

    private void recordServedParts(int status, AnswerProgress progress) {
        long sentNanos = context.nowNanos() - request.attemptNanos(context.nowNanos());
        boolean endIsMarked = progress.framing()
                .map(framing -> framing != BodyFraming.CONNECTION_CLOSE)
                .orElse(false);
        if (status == OK) {
            request.info()
                    .prompt()
                    .ifPresent(prompt -> request.endpointEntry()
                            .ifPresent(endpoint ->
                                    traffic.promptParts().answered(prompt, endpoint, sentNanos, endIsMarked)));
        }
    }

    /**
     * Records that the first part of the answer is sent to the caller. May be called from any thread.
     *
     * @param version the version of the endpoint that sent it
     */
    void answerStarted(ServiceVersion version) {
        if (request.info().route().kind() == RouteKind.STREAM) {
            StreamOrigin origin = new StreamOrigin(firstRequestId(), version);
            boolean ambiguousService = request.info().route().services().size() > 1;
            context.loop().execute(() -> traffic.streamOrigins().streamBegan(origin, ambiguousService));
        }
        context.metrics()
                .firstByteSent(
                        request.info().route().name(),
                        seconds(context.nowNanos() - request.info().arrivedNanos()));
    }

    /** Returns the id of the client attempt that brings the first event of the stream: this one, unless it resumes a stream. */
    private String firstRequestId() {
        return metadata.firstRequestId()
                .filter(id -> request.info().beganAt().isPresent())
                .orElse(request.info().id());
    }

    /**
     * Handles an attempt that ended without a final answer; if no other attempt follows, the caller gets the endpoint's
     * error answer if there is one. May be called from any thread.
     */
    void attemptFailed(
            long attempt, AttemptEnd end, String detail, AnswerProgress progress, Optional<CompleteAnswer> answer) {
        context.loop().execute(() -> {
            if (finished || attempt != attemptNumber) {
                return;
            }
            exchange = Optional.empty();
            String endpoint = request.endpoint().map(key -> key.id()).orElse("");
            log.attemptFailed(endpoint, attempt, end, detail, progress);
            recordAttemptEnd(end, 0);
            recordAnswerStart();
            if (!relay.isStarted()) {
                traffic.crashTracking().attemptEnded(request.info().fingerprint(), endpoint, end);
            }
            Optional<EndpointEntry> entry = request.endpointEntry();
            long sentNanos = context.nowNanos() - request.attemptNanos(context.nowNanos());
            context.core().failureRecorded(request, end, context.nowNanos());
            Runnable decide = () -> decideAfterFailure(end, answer);
            if (end == AttemptEnd.CUT && entry.isPresent()) {
                traffic.promptParts().connectionLost(entry.get(), request.info().prompt(), sentNanos, decide);
            } else {
                decide.run();
            }
        });
    }

    private void decideAfterFailure(AttemptEnd end, Optional<CompleteAnswer> answer) {
        if (finished) {
            return;
        }
        releasePermit();
        DispatchDecision decision = context.core().decideAfterFailure(request, end, context.nowNanos());
        if (decision instanceof DispatchDecision.Refuse && answer.isPresent() && end == AttemptEnd.ERROR_ANSWER) {
            call.reply(
                    answer.get().status(), answer.get().headers(), answer.get().body());
            finish(
                    ANSWERED,
                    context.timeline()
                            .event(EventKind.REQUEST_ENDED)
                            .with("end", ANSWERED)
                            .with("status", answer.get().status()));
            return;
        }
        applyDecision(decision);
    }

    private void releasePermit() {
        request.takePermit().ifPresent(traffic.permits()::release);
    }

    private void recordAttemptEnd(AttemptEnd end, long eventNanos) {
        long attemptNanos = request.attemptNanos(context.nowNanos());
        request.endpoint().ifPresent(key -> {
            context.metrics().attemptEnded(key.id(), end, seconds(attemptNanos));
            traffic.slots().onlineEnded(key, end, new AttemptTiming(attemptNanos, eventNanos));
        });
    }

    private static double seconds(long nanos) {
        return (double) nanos / TimeUnit.SECONDS.toNanos(1);
    }

    private void refuse(Refusal refusal, Optional<OverloadFacts> overload) {
        if (relay.isStarted()) {
            call.abortStream();
        } else {
            traffic.refuse(call, request.info().id(), refusal);
        }
        EventBuilder event = context.timeline()
                .event(EventKind.REQUEST_FAILED)
                .with("code", refusal.code().wireName())
                .with("reason", refusal.message())
                .with("retryAfterMillis", refusal.retryAfterMillis().orElse(0L));
        overload.ifPresent(
                facts -> context.metrics().refusedForLoad(request.info().caller(), facts));
        overload.ifPresent(facts -> event.with("waitMillis", facts.waitMillis())
                .with("longestWaitMillis", facts.longestWaitMillis())
                .with("meanRunMillis", facts.meanRunMillis()));
        overload.flatMap(OverloadFacts::share).ifPresent(share -> ShareLogFields.addTo(event, share));
        admission.refused(refusal);
        finish(refusal.code().wireName(), event);
    }

    /**
     * Cancels the attempt of a caller that has gone. Called on a traffic thread: the caller may continue its stream at another host
     * before the control thread, which may be behind, gets to it.
     */
    private void cancelForDisconnect() {
        callerGone = true;
        exchange.ifPresent(Exchange::cancel);
        context.loop().execute(this::callerDisconnected);
    }

    private void callerDisconnected() {
        if (!finished) {
            abandonAttempt();
            finish(
                    "caller-gone",
                    context.timeline().event(EventKind.REQUEST_ENDED).with("end", "caller-gone"));
        }
    }

    private void deadlineExceeded() {
        if (!finished) {
            abandonAttempt();
            refuse(
                    new Refusal(
                            ErrorCode.DEADLINE_EXCEEDED,
                            request.outcome(),
                            log.deadlineExceededReason(relay.isStarted()),
                            Optional.empty()),
                    Optional.empty());
        }
    }

    /** Gives the final answer before this host ends; a stream that has begun goes on until the host's time is over. */
    private void hostEnds() {
        boolean mayGoOn = relay.isStarted() && context.stop().phase() != PlannedStop.Phase.ENDED;
        if (!finished && !mayGoOn) {
            abandonAttempt();
            refuse(GatewayTraffic.refusalAtEnd(request.outcome()), Optional.empty());
        }
    }

    private void abandonAttempt() {
        exchange.ifPresent(Exchange::cancel);
        exchange = Optional.empty();
        request.endpoint()
                .ifPresent(key -> traffic.slots().onlineEnded(key, AttemptEnd.ABANDONED, AttemptTiming.ofDuration(0)));
        context.core().abandoned(request, context.nowNanos());
    }

    private void finish(String end, EventBuilder event) {
        finished = true;
        deadlineTask.cancel();
        releasePermit();
        traffic.requestEnded();
        context.metrics().requestEnded(request.info().route().name(), end);
        log.ended(end, event, relay.isStarted());
    }
}
