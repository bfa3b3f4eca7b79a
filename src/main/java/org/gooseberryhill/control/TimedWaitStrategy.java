package org.gooseberryhill.control;

import com.lmax.disruptor.AlertException;
import com.lmax.disruptor.Sequence;
import com.lmax.disruptor.SequenceBarrier;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.WaitStrategy;
import java.lang.invoke.VarHandle;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

/**
 * Lets the one reader of a ring sleep until an event comes or its next timer is due. Thread-safe; one reader.
 *
 * <p>A timer thread beside the reader would wake twice for each timer: itself and, through the ring, the reader.
 *
 * <p>Invariant: no wake-up is lost. The reader tells that it sleeps before it looks at the ring for the last time, and a
 * writer publishes before it looks for a sleeper; the fences keep both orders.
 */
final class TimedWaitStrategy implements WaitStrategy {
    private final LongSupplier nanosToNextTimer;
    private volatile Thread sleeper;

    /** A strategy for a reader whose timers tell how long it is until the next of them. */
    TimedWaitStrategy(LongSupplier nanosToNextTimer) {
        this.nanosToNextTimer = nanosToNextTimer;
    }

    @Override
    public long waitFor(long sequence, Sequence cursor, Sequence dependentSequence, SequenceBarrier barrier)
            throws AlertException, TimeoutException {
        long available = dependentSequence.get();
        while (available < sequence) {
            barrier.checkAlert();
            long nanos = nanosToNextTimer.getAsLong();
            if (nanos <= 0) {
                throw TimeoutException.INSTANCE;
            }
            sleep(sequence, dependentSequence, nanos);
            available = dependentSequence.get();
        }
        return available;
    }

    @Override
    public void signalAllWhenBlocking() {
        VarHandle.fullFence();
        Thread sleeping = sleeper;
        if (sleeping != null) {
            LockSupport.unpark(sleeping);
        }
    }

    private void sleep(long sequence, Sequence dependentSequence, long nanos) {
        sleeper = Thread.currentThread();
        VarHandle.fullFence();
        if (dependentSequence.get() < sequence) {
            LockSupport.parkNanos(this, nanos);
        }
        sleeper = null;
    }
}
