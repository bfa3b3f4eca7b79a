package org.gooseberryhill.decision.replay;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * What the callers of some accounts see of the calls that they started in some time. Immutable.
 *
 * @param calls the calls
 */
record AccountFigures(List<ReplayCall> calls) {
    /** Accounts with fewer calls are served too seldom by chance to be compared. */
    private static final int MIN_COMPARED_CALLS = 10;

    double onTimeShare() {
        return share(calls, Kind.ON_TIME);
    }

    double servedShare() {
        return share(calls, Kind.SERVED);
    }

    double refusedTwiceShare() {
        return share(calls, Kind.REFUSED_TWICE);
    }

    int served() {
        return (int) calls.stream().filter(ReplayCall::isServed).count();
    }

    /** Returns the 99th percentile of the time from a call to its first event, retries included. */
    double p99Millis() {
        List<Double> sorted = calls.stream()
                .map(ReplayCall::firstEventMillis)
                .flatMap(Optional::stream)
                .sorted()
                .toList();
        return sorted.get((int) (0.99 * (sorted.size() - 1)));
    }

    /** Returns the lowest share of served calls of one account. */
    double worstServedShare() {
        Map<String, List<ReplayCall>> byAccount = calls.stream().collect(Collectors.groupingBy(ReplayCall::account));
        return byAccount.values().stream()
                .filter(ofAccount -> ofAccount.size() >= MIN_COMPARED_CALLS)
                .mapToDouble(ofAccount -> share(ofAccount, Kind.SERVED))
                .min()
                .orElse(1);
    }

    private static double share(List<ReplayCall> calls, Kind kind) {
        return (double) calls.stream().filter(kind::matches).count() / Math.max(1, calls.size());
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%d calls: on time %.3f, served %.3f, refused twice %.3f, first event p99 %.0f ms",
                calls.size(),
                onTimeShare(),
                servedShare(),
                refusedTwiceShare(),
                p99Millis());
    }

    /** What became of a call. */
    private enum Kind {
        ON_TIME,
        SERVED,
        REFUSED_TWICE;

        boolean matches(ReplayCall call) {
            return switch (this) {
                case ON_TIME -> call.isOnTime();
                case SERVED -> call.isServed();
                case REFUSED_TWICE -> call.isRefusedTwice();
            };
        }
    }
}
