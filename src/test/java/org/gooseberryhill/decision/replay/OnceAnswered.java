package org.gooseberryhill.decision.replay;

import java.util.function.Consumer;

/** A question that is answered once: by its answer, or by the timeout. */
final class OnceAnswered<T> {
    private final Consumer<T> receiver;
    private final Consumer<T> lateReceiver;
    private boolean answered;

    OnceAnswered(Consumer<T> receiver, Consumer<T> lateReceiver) {
        this.receiver = receiver;
        this.lateReceiver = lateReceiver;
    }

    boolean isAwaited() {
        return !answered;
    }

    void onAnswer(T answer) {
        if (answered) {
            lateReceiver.accept(answer);
        } else {
            answered = true;
            receiver.accept(answer);
        }
    }

    void onTimeout(Runnable action) {
        if (!answered) {
            answered = true;
            action.run();
        }
    }
}
