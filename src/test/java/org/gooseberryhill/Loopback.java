package org.gooseberryhill;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.gooseberryhill.link.Address;
import org.gooseberryhill.standin.FreePorts;

/** Helper methods of tests on the loopback interface: free ports, event loop groups and waiting for conditions. */
public final class Loopback {
    private static final long OUTCOME_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(120);

    private Loopback() {}

    public static EventLoopGroup newEventLoopGroup() {
        return new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    }

    /** Returns an address at which nothing listened when it was chosen. */
    public static Address freeAddress() {
        return FreePorts.nextAddress();
    }

    /** Returns the first of 100 consecutive ports at which nothing listened when they were chosen. */
    public static int freeBasePort() {
        return FreePorts.claimBlock();
    }

    /** Waits until the condition holds; the timeout of 120 s only stops a test that would never end. */
    public static void await(String description, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + OUTCOME_TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("not observed in time: " + description);
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
        }
    }
}
