package org.gooseberryhill.load;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.gooseberryhill.program.CheckedStream;

/** What a run measured. Thread-safe. */
public final class Measurement {
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1000;

    private final Histogram firstToken = new Histogram(DIGITS);
    private final Histogram meanGap = new Histogram(DIGITS);
    private final Histogram plain = new Histogram(DIGITS);
    private int whole;
    private int wrong;
    private int cut;
    private int refused;

    /** A model's answer ended. */
    public synchronized void answered(CheckedStream.Result result) {
        switch (result.end()) {
            case WHOLE -> {
                whole++;
                firstToken.recordValue(TimeUnit.NANOSECONDS.toMicros(result.firstTokenNanos()));
                meanGap.recordValue(TimeUnit.NANOSECONDS.toMicros(result.meanGapNanos()));
            }
            case WRONG -> wrong++;
            case CUT -> cut++;
            default -> refused++;
        }
    }

    /** A plain call ended. */
    public synchronized void plainAnswered(boolean right, long nanos) {
        if (right) {
            whole++;
            plain.recordValue(TimeUnit.NANOSECONDS.toMicros(nanos));
        } else {
            refused++;
        }
    }

    /** First-token time at a percentile, in milliseconds. */
    public synchronized double firstTokenMillis(double percentile) {
        return firstToken.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /** Mean time between tokens of an answer at a percentile, in milliseconds. */
    public synchronized double gapMillis(double percentile) {
        return meanGap.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /** Time of plain calls at a percentile, in milliseconds. */
    public synchronized double plainMillis(double percentile) {
        return plain.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /** Model answers that were whole; plain answers not counted. */
    public synchronized int wholeModelAnswers() {
        return (int) firstToken.getTotalCount();
    }

    /** Answers by their end: whole, wrong, cut, refused. */
    public synchronized int[] ends() {
        return new int[] {whole, wrong, cut, refused};
    }
}
