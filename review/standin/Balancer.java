package review;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The platform before the gateways: asks each for its readiness once per second, and gives it no new connections after two
 * misses until it answers with 200 again. Thread-safe.
 */
final class Balancer implements AutoCloseable {
    private static final int MISSES = 2;
    private static final long PERIOD_MILLIS = 1000;

    private final List<Deployment.Node> nodes;
    private final int[] misses;
    private volatile boolean closed;

    Balancer(List<Deployment.Node> nodes, Recorder recorder) {
        this.nodes = nodes;
        this.misses = new int[nodes.size()];
        for (int i = 0; i < nodes.size(); i++) {
            int index = i;
            Thread thread = new Thread(() -> watch(index, recorder), "balancer");
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void watch(int index, Recorder recorder) {
        while (!closed) {
            long startNanos = System.nanoTime();
            boolean ready = nodes.get(index).isReady();
            synchronized (misses) {
                misses[index] = ready ? 0 : misses[index] + 1;
                if (misses[index] == MISSES) {
                    recorder.write("%s gets no new connections", nodes.get(index).name);
                }
            }
            long restMillis = PERIOD_MILLIS - (System.nanoTime() - startNanos) / 1_000_000;
            try {
                Thread.sleep(Math.max(1, restMillis));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Returns the node that gets the next connection. */
    Deployment.Node next() {
        synchronized (misses) {
            List<Deployment.Node> inRotation =
                    nodes.stream().filter(node -> misses[nodes.indexOf(node)] < MISSES).toList();
            List<Deployment.Node> used = 2 * inRotation.size() < nodes.size() ? nodes : inRotation;
            return used.get(ThreadLocalRandom.current().nextInt(used.size()));
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}
