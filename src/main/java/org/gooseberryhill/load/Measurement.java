package org.gooseberryhill.load;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.gooseberryhill.program.StreamedAnswerChecker;

/** Collects the measurements of a run. Thread-safe. */
public final class Measurement {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1000;

    private final Histogram firstTokenMicros = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram meanGapMicros = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram plainDurationMicros = new Histogram(SIGNIFICANT_DIGITS);
    private int wholeCount;
    private int wrongCount;
    private int cutCount;
    private int refusedCount;

    /** Records the end of a model answer. */
    public synchronized void recordModelAnswer(StreamedAnswerChecker.Result result) {
        switch (result.end()) {
            case WHOLE -> {
                wholeCount++;
                firstTokenMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(result.firstTokenNanos()));
                meanGapMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(result.meanGapNanos()));
            }
            case WRONG -> wrongCount++;
            case CUT -> cutCount++;
            default -> refusedCount++;
        }
    }

    /** Records the end of a plain call, with its duration; a call without a correct answer counts as refused. */
    public synchronized void recordPlainAnswer(boolean correct, long durationNanos) {
        if (correct) {
            wholeCount++;
            plainDurationMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(durationNanos));
        } else {
            refusedCount++;
        }
    }

    /** Returns a percentile of the time to the first token, in milliseconds. */
    public synchronized double firstTokenMillis(double percentile) {
        return firstTokenMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /** Returns a percentile of the answers' mean time between tokens, in milliseconds. */
    public synchronized double gapMillis(double percentile) {
        return meanGapMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /** Returns a percentile of the duration of correctly answered plain calls, in milliseconds. */
    public synchronized double plainMillis(double percentile) {
        return plainDurationMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /** Returns the number of complete and correct model answers; plain calls are not counted. */
    public synchronized int wholeModelAnswers() {
        return (int) firstTokenMicros.getTotalCount();
    }

    /**
     * Returns the numbers of answers that were complete and correct, complete but incorrect, truncated, and refused, in
     * this order.
     */
    public synchronized int[] countsByEnd() {
        return new int[] {wholeCount, wrongCount, cutCount, refusedCount};
    }
}
