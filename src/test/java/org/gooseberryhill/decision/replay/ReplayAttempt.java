package org.gooseberryhill.decision.replay;

import java.util.function.Consumer;
import org.gooseberryhill.decision.dispatch.AttemptEnd;
import org.gooseberryhill.decision.dispatch.EventPace;

/** An attempt of a streamed request at an endpoint, as its host receives the answer. */
final class ReplayAttempt implements ReplayEndpoint.AnswerListener {
    private final VirtualClock clock;
    private final Consumer<Runnable> transport;
    private final ReplayCall call;
    private final Consumer<EventPace> onAnswered;
    private final Consumer<AttemptEnd> onFailed;
    private final EventPace pace = new EventPace();

    /**
     * Creates an attempt.
     *
     * @param transport runs an action of the host when a part of the answer has arrived there
     */
    ReplayAttempt(
            VirtualClock clock,
            Consumer<Runnable> transport,
            ReplayCall call,
            Consumer<EventPace> onAnswered,
            Consumer<AttemptEnd> onFailed) {
        this.clock = clock;
        this.transport = transport;
        this.call = call;
        this.onAnswered = onAnswered;
        this.onFailed = onFailed;
    }

    @Override
    public void onEvent() {
        receive(() -> {
            pace.arrived(1, clock.nowNanos());
            call.onEvent();
        });
    }

    @Override
    public void onEnd() {
        receive(() -> onAnswered.accept(pace));
    }

    @Override
    public void onBusy() {
        receive(() -> onFailed.accept(AttemptEnd.BUSY));
    }

    @Override
    public void onError() {
        receive(() -> onFailed.accept(AttemptEnd.ERROR_ANSWER));
    }

    @Override
    public void onCut() {
        receive(() -> onFailed.accept(AttemptEnd.CUT));
    }

    private void receive(Runnable action) {
        transport.accept(action);
    }
}
