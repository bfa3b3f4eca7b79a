package org.gooseberryhill.http;

import io.netty.channel.Channel;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs an action when a connection has sent nothing for a whole idle period. Used only on the connection's event loop. */
final class IdleTimer {
    private final int periodMillis;
    private ScheduledFuture<?> timer;

    IdleTimer(int periodMillis) {
        this.periodMillis = periodMillis;
    }

    /** Runs an action once no byte has been sent for a whole idle period, unless the timer is cancelled first. */
    void start(Channel connection, Runnable action) {
        cancel();
        UnsentBytes before = UnsentBytes.of(connection);
        timer = connection
                .eventLoop()
                .schedule(
                        () -> {
                            if (UnsentBytes.of(connection).equals(before)) {
                                action.run();
                                return;
                            }
                            start(connection, action);
                        },
                        periodMillis,
                        TimeUnit.MILLISECONDS);
    }

    void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
