package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.gooseberryhill.timeline.EventKind;
import org.gooseberryhill.timeline.Timeline;

/**
 * Passes the latest value of a kind to each of its receivers. Confined to the control thread.
 *
 * <p>Invariants: a receiver that throws keeps no other from getting the value. It gets the latest value again until it takes it,
 * since a view offers no value twice.
 *
 * @param <T> the type of the values
 */
final class LatestValueDelivery<T> {
    private final String name;
    private final Timeline timeline;
    private final Consumer<Runnable> repeater;
    private final List<Consumer<T>> receivers;
    private final Consumer<T> onDelivered;
    private List<Consumer<T>> pending = List.of();
    private T latest;
    private boolean repeatScheduled;

    /**
     * Creates a delivery without a value.
     *
     * @param name names the values in the log
     * @param repeater runs a task after a while
     * @param onDelivered gets each value that all receivers have taken
     */
    LatestValueDelivery(
            String name,
            Timeline timeline,
            Consumer<Runnable> repeater,
            List<Consumer<T>> receivers,
            Consumer<T> onDelivered) {
        this.name = name;
        this.timeline = timeline;
        this.repeater = repeater;
        this.receivers = List.copyOf(receivers);
        this.onDelivered = onDelivered;
    }

    /** Passes a value to all receivers, in their order. */
    void deliver(T value) {
        latest = value;
        pending = receivers;
        deliverPending(true);
    }

    private void deliverPending(boolean logged) {
        List<Consumer<T>> failed = new ArrayList<>();
        for (Consumer<T> receiver : pending) {
            try {
                receiver.accept(latest);
            } catch (RuntimeException e) {
                failed.add(receiver);
                if (logged) {
                    logFailure(e);
                }
            }
        }
        pending = failed;
        if (failed.isEmpty()) {
            onDelivered.accept(latest);
        } else if (!repeatScheduled) {
            repeatScheduled = true;
            repeater.accept(this::repeat);
        }
    }

    private void repeat() {
        repeatScheduled = false;
        if (!pending.isEmpty()) {
            deliverPending(false);
        }
    }

    private void logFailure(RuntimeException failure) {
        timeline.event(EventKind.CHANGE_NOT_APPLIED)
                .with("key", name)
                .with("reason", String.valueOf(failure))
                .write();
    }
}
