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
 * Parks the single consumer of a ring buffer until an event is published or its next timer is due. Thread-safe, for one
 * consumer.
 *
 * <p>A separate timer thread would cost two wake-ups per timer: its own and, through the ring, that of the consumer.
 *
 * <p>Invariant: no wake-up is lost. The consumer announces that it parks before it checks the ring for the last time,
 * and a producer publishes before it checks for a parked consumer; the fences preserve both orders.
 */
final class TimedWaitStrategy implements WaitStrategy {
    private final LongSupplier nanosUntilNextTimer;
    private volatile Thread parkedThread;

    /** Creates a strategy from a supplier of the nanoseconds until the consumer's next timer is due. */
    TimedWaitStrategy(LongSupplier nanosUntilNextTimer) {
        this.nanosUntilNextTimer = nanosUntilNextTimer;
    }

    @Override
    public long waitFor(long sequence, Sequence cursor, Sequence dependentSequence, SequenceBarrier barrier)
            throws AlertException, TimeoutException {
        long available = dependentSequence.get();
        while (available < sequence) {
            barrier.checkAlert();
            long nanos = nanosUntilNextTimer.getAsLong();
            if (nanos <= 0) {
                throw TimeoutException.INSTANCE;
            }
            park(sequence, dependentSequence, nanos);
            available = dependentSequence.get();
        }
        return available;
    }

    @Override
    public void signalAllWhenBlocking() {
        VarHandle.fullFence();
        Thread consumer = parkedThread;
        if (consumer != null) {
            LockSupport.unpark(consumer);
        }
    }

    private void park(long sequence, Sequence dependentSequence, long nanos) {
        parkedThread = Thread.currentThread();
        VarHandle.fullFence();
        if (dependentSequence.get() < sequence) {
            LockSupport.parkNanos(this, nanos);
        }
        parkedThread = null;
    }
}
