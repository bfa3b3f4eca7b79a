package org.gooseberryhill.entry;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.configuration.EndpointSettings;
import org.gooseberryhill.contract.ErrorCode;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.contract.Refusal;
import org.gooseberryhill.decision.online.OnlineDecision;
import org.gooseberryhill.decision.online.OnlineRequest;
import org.gooseberryhill.decision.online.OnlineRequestInfo;
import org.gooseberryhill.decision.retry.AttemptFailure;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.http.Exchange;
import org.gooseberryhill.http.ExchangeFailure;
import org.gooseberryhill.http.HttpCall;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.process.HostProcess;
import org.gooseberryhill.timeline.EventKind;

/**
 * Processes one online request on this host. Decisions are made on the control thread, answers are received on traffic
 * threads.
 *
 * <p>Invariant: the caller gets exactly one final answer. If the caller disconnects or the deadline passes, the attempt
 * in progress is cancelled and its answer is not awaited.
 */
abstract class OnlineCall {
    private static final Logger LOG = LogManager.getLogger(OnlineCall.class);

    final EntryContext context;
    final HttpCall call;
    final OnlineRequestInfo requestInfo;
    final long startNanos;
    private OnlineRequest request;
    private Exchange exchange;
    private boolean finished;
    private long attemptNumber;

    OnlineCall(EntryContext context, HttpCall call, OnlineRequestInfo requestInfo) {
        this.context = context;
        this.call = call;
        this.requestInfo = requestInfo;
        this.startNanos = process().loop().nowNanos();
    }

    /**
     * Starts the exchange with an endpoint. The implementation must report the end of the exchange to
     * {@link #attemptSucceeded} or {@link #attemptFailed}.
     */
    abstract Exchange startExchange(EndpointSettings endpoint, long attempt);

    /** Sends the refusal to the caller. */
    abstract void refuse(Refusal refusal);

    /** Prepares the first attempt; calls {@link #proceed} or {@link #endWithRefusal} when done. */
    void prepare() {
        proceed();
    }

    /** Starts processing the request. May be called from any thread. */
    final void begin() {
        process().loop().execute(this::admit);
    }

    final HostProcess process() {
        return context.process();
    }

    /** Requests the next decision and performs it. Must be called on the control thread. */
    final void proceed() {
        if (!finished) {
            perform(context.traffic().core().next(request, nowNanos()));
        }
    }

    /** Ends an attempt with a complete answer, which the action sends to the caller. May be called from any thread. */
    final void attemptSucceeded(long attempt, Runnable sendAnswer) {
        process().loop().execute(() -> {
            if (finished || attempt != attemptNumber) {
                return;
            }
            releasePermit(true);
            context.traffic().core().attemptSucceeded(request, nowNanos());
            sendAnswer.run();
            finish("answered");
        });
    }

    /**
     * Answers the request with the stored answer of an earlier call, without an attempt. Must be called on the control
     * thread.
     */
    final void replayAnswer(Runnable sendAnswer) {
        if (!finished) {
            sendAnswer.run();
            finish("replayed");
        }
    }

    /** Ends an attempt with a failure. May be called from any thread. */
    final void attemptFailed(long attempt, ExchangeFailure failure) {
        process().loop().execute(() -> {
            if (finished || attempt != attemptNumber) {
                return;
            }
            boolean connectionCut =
                    failure.kind() == ExchangeFailure.Kind.CONNECTION_LOST && failure.outcome() == Outcome.MAY_HAVE_RUN;
            String endpoint = request.endpoint().orElse("");
            process()
                    .timeline()
                    .event(EventKind.ATTEMPT_FAILED)
                    .request(requestInfo.id())
                    .endpoint(endpoint)
                    .with("attempt", attempt)
                    .with("outcome", failure.outcome().wireName())
                    .with("detail", failure.detail())
                    .write();
            try (CloseableThreadContext.Instance ignored =
                    CloseableThreadContext.put("request", requestInfo.id()).put("endpoint", endpoint)) {
                LOG.warn("attempt {} failed, {}: {}", attempt, failure.outcome().wireName(), failure.detail());
            }
            if (connectionCut) {
                context.traffic().onEndpointCrashed(endpoint, requestInfo.fingerprint());
            }
            releasePermit(false);
            AttemptFailure attemptFailure = new AttemptFailure(failure.outcome(), connectionCut, failure.detail());
            perform(context.traffic().core().attemptFailed(request, attemptFailure, nowNanos()));
        });
    }

    /**
     * Records that the caller has a part of an answer that no other endpoint can continue. May be called from any
     * thread.
     */
    final void markAnswerStarted() {
        process().loop().execute(() -> request.markAnswerStarted());
    }

    /** Ends the request with a refusal. Must be called on the control thread. */
    final void endWithRefusal(Refusal refusal) {
        if (finished) {
            return;
        }
        refuse(refusal);
        finish(refusal.code().wireName());
    }

    final long nowNanos() {
        return process().loop().nowNanos();
    }

    private void admit() {
        if (!process().plannedStop().acceptsAllRequests()) {
            refuseAdmission(Refusal.notRun(ErrorCode.STOPPING, "this host is stopping", 1));
            return;
        }
        Either<Refusal, OnlineRequest> admitted = context.traffic().core().admit(requestInfo, nowNanos());
        if (admitted.isLeft()) {
            refuseAdmission(admitted.getLeft());
            return;
        }
        request = admitted.get();
        context.traffic().requestStarted();
        context.metrics().requestStarted();
        call.onDisconnect(() -> process().loop().execute(this::onCallerDisconnected));
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(requestInfo.deadlineNanos() - nowNanos());
        process().loop().after(remainingMillis, this::onDeadlinePassed);
        prepare();
    }

    private void refuseAdmission(Refusal refusal) {
        finished = true;
        context.metrics().requestRefused(requestInfo.service(), refusal.code().wireName());
        process()
                .timeline()
                .event(EventKind.REQUEST_REFUSED)
                .request(requestInfo.id())
                .with("code", refusal.code().wireName())
                .with("reason", refusal.message())
                .write();
        refuse(refusal);
    }

    private void perform(OnlineDecision decision) {
        if (decision instanceof OnlineDecision.Send send) {
            send(send.endpoint());
        } else if (decision instanceof OnlineDecision.AskPermit ask) {
            requestPermit(ask);
        } else if (decision instanceof OnlineDecision.Wait wait) {
            process().loop().after(wait.delayMillis(), this::proceed);
        } else if (decision instanceof OnlineDecision.Refuse refuse) {
            endWithRefusal(refuse.refusal());
        }
    }

    private void send(EndpointSettings endpoint) {
        attemptNumber++;
        context.metrics().attemptStarted(endpoint.name());
        context.traffic().attemptStarted(endpoint.name());
        process()
                .timeline()
                .event(EventKind.ATTEMPT_SENT)
                .request(requestInfo.id())
                .endpoint(endpoint.name())
                .with("attempt", attemptNumber)
                .write();
        exchange = startExchange(endpoint, attemptNumber);
    }

    /** Requests an endpoint where the request, a crash suspect, may run isolated from other suspects. */
    private void requestPermit(OnlineDecision.AskPermit ask) {
        Optional<Host> arbiter = context.traffic().suspectArbiter(requestInfo.service());
        if (arbiter.isEmpty()) {
            onPermitAnswer(Optional.empty());
            return;
        }
        PeerMessage message = new PeerMessage.SuspectPermitRequest(
                requestInfo.service(), requestInfo.fingerprint().value(), ask.endpoints());
        process()
                .ask(arbiter.get(), message)
                .whenComplete((reply, failure) -> process()
                        .loop()
                        .execute(() -> onPermitAnswer(
                                reply instanceof PeerMessage.SuspectPermit permit
                                        ? permit.endpoint()
                                        : Optional.empty())));
    }

    private void onPermitAnswer(Optional<String> endpoint) {
        if (finished) {
            endpoint.ifPresent(name -> sendPermitRelease(false));
            return;
        }
        OnlineDecision decision = context.traffic().core().onPermitAnswer(request, endpoint, nowNanos());
        if (endpoint.isPresent() && !request.holdsPermit()) {
            sendPermitRelease(false);
        }
        perform(decision);
    }

    private void releasePermit(boolean completed) {
        if (request.holdsPermit()) {
            sendPermitRelease(completed);
        }
    }

    private void sendPermitRelease(boolean completed) {
        PeerMessage release = new PeerMessage.SuspectRelease(
                requestInfo.service(), requestInfo.fingerprint().value(), completed);
        context.traffic()
                .suspectArbiter(requestInfo.service())
                .ifPresent(host -> process().send(host, release));
    }

    private void onCallerDisconnected() {
        if (!finished) {
            cancelAttempt();
            finish("caller-gone");
        }
    }

    private void onDeadlinePassed() {
        if (!finished) {
            Outcome outcome = request.endpoint().isPresent() ? Outcome.MAY_HAVE_RUN : request.outcome();
            cancelAttempt();
            endWithRefusal(new Refusal(
                    ErrorCode.DEADLINE_EXCEEDED, outcome, "the deadline passed before the answer", Optional.empty()));
        }
    }

    private void cancelAttempt() {
        if (exchange != null) {
            exchange.cancel();
        }
        releasePermit(false);
        context.traffic().core().attemptAbandoned(request);
    }

    private void finish(String end) {
        finished = true;
        context.traffic().core().finished(request);
        context.traffic().requestEnded();
        context.metrics().requestEnded(requestInfo.service(), end);
        process()
                .timeline()
                .event(EventKind.REQUEST_ENDED)
                .request(requestInfo.id())
                .with("end", end)
                .write();
    }
}
