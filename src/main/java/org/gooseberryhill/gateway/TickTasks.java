package org.gooseberryhill.gateway;

import java.util.ArrayList;
import java.util.List;
import org.gooseberryhill.control.ControlLoop;
import org.gooseberryhill.decision.schedule.TickSchedule;

/**
 * Runs periodic tasks at the ticks of the control thread, so that they don't wake it at times of their own. Confined to
 * the control thread.
 *
 * <p>Invariant: a task that throws an exception affects neither the other tasks nor its own next run.
 */
final class TickTasks {
    private final ControlLoop loop;
    private final long tickMillis;
    private final List<Task> tasks = new ArrayList<>();

    /**
     * Creates an empty list of tasks.
     *
     * @param tickMillis the period in which {@link #runDue} is called
     */
    TickTasks(ControlLoop loop, long tickMillis) {
        this.loop = loop;
        this.tickMillis = tickMillis;
    }

    /** Adds a task that runs once in each period, for the first time after one period. */
    void add(long periodMillis, Runnable action) {
        tasks.add(new Task(new TickSchedule(periodMillis, tickMillis, loop.nowNanos()), action));
    }

    /** Runs the tasks that are due, after the current task of the control thread. */
    void runDue() {
        long nowNanos = loop.nowNanos();
        for (Task task : tasks) {
            if (task.schedule.isDue(nowNanos)) {
                loop.execute(task.action);
            }
        }
    }

    /** A task and its schedule. */
    private record Task(TickSchedule schedule, Runnable action) {}
}
