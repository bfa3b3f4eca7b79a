package org.gooseberryhill.decision.requestbatch;

import org.gooseberryhill.decision.dispatch.ExponentialMovingAverage;

/**
 * Estimates the remaining run time of items from the output length and the generation speed of earlier items. Not
 * thread-safe.
 *
 * <p>Length and speed are estimated separately, since most items yield several times: a single run is too short to show
 * the length of an item, and the pauses between runs are too long to derive the speed from its total time.
 */
public final class RunTimeEstimator {
    /** The initial estimate of the length of an item: some seconds of output with a few words per event. */
    private static final double INITIAL_CHARACTERS = 8_000;

    private static final double INITIAL_MILLIS_PER_CHARACTER = 0.5;

    /** The mean covers about the last 16 values: enough to smooth single items, few enough to follow a slow-down. */
    private static final double NEWEST_WEIGHT = 1.0 / 16;

    /** The time to connect, wait for a slot and process the prompt, before the first event of a run. */
    private static final double STARTUP_MILLIS = 100;

    /** Runs that generated fewer characters are too short to measure the speed. */
    private static final int MIN_MEASURED_CHARACTERS = 500;

    private final ExponentialMovingAverage charactersPerItem =
            new ExponentialMovingAverage(INITIAL_CHARACTERS, NEWEST_WEIGHT);
    private final ExponentialMovingAverage millisPerCharacter =
            new ExponentialMovingAverage(INITIAL_MILLIS_PER_CHARACTER, NEWEST_WEIGHT);

    /**
     * Records the end of a run.
     *
     * @param newCharacters the number of characters that the run generated
     * @param millis the duration of the run
     */
    public void runEnded(int newCharacters, double millis) {
        if (newCharacters >= MIN_MEASURED_CHARACTERS) {
            millisPerCharacter.add(millis / newCharacters);
        }
    }

    /** Records that an item is done, with the length of its whole output. */
    public void itemCompleted(int allCharacters) {
        charactersPerItem.add(allCharacters);
    }

    /** Returns the expected run time of a whole item. */
    public double fullRunMillis() {
        return STARTUP_MILLIS + charactersPerItem.value() * millisPerCharacter.value();
    }

    /** Returns the expected remaining run time of an item. */
    public double remainingMillis(ItemProgress item) {
        double remainingCharacters = Math.max(0, charactersPerItem.value() - item.characterCount());
        return STARTUP_MILLIS + remainingCharacters * millisPerCharacter.value();
    }
}
