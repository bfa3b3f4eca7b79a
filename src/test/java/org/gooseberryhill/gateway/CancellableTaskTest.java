package org.gooseberryhill.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.ref.WeakReference;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.gooseberryhill.Loopback;
import org.junit.jupiter.api.Test;

class CancellableTaskTest {
    @Test
    void aTaskRunsOnceAndNotAfterItsCancellation() {
        AtomicInteger runs = new AtomicInteger();
        CancellableTask run = new CancellableTask(runs::incrementAndGet);
        CancellableTask cancelled = new CancellableTask(runs::incrementAndGet);

        cancelled.cancel();
        cancelled.run();
        run.run();
        run.run();

        assertThat(runs.get()).isEqualTo(1);
    }

    /** Guards against the body of an answered request that a timer keeps in memory until the deadline. */
    @Test
    void aCancelledTaskKeepsNothingInMemory() {
        AtomicReference<byte[]> body = new AtomicReference<>(new byte[1000]);
        WeakReference<byte[]> reference = new WeakReference<>(body.get());
        CancellableTask task = newTask(body.getAndSet(null));

        task.cancel();

        Loopback.await("the body is collected", () -> {
            System.gc();
            return reference.get() == null;
        });
        task.run();
    }

    private static CancellableTask newTask(byte[] body) {
        return new CancellableTask(() -> body[0]++);
    }
}
