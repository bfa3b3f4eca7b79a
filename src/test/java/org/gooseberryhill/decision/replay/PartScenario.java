package org.gooseberryhill.decision.replay;

import java.util.List;
import java.util.Set;

/**
 * The size and load of a deployment whose requests share parts of prompts. Immutable.
 *
 * @param hosts number of hosts
 * @param endpoints number of endpoints
 * @param slots number of slots of an endpoint
 * @param soundPerSecond mean rate of sound requests
 * @param subjects number of second parts that sound requests share; each has a few requests a minute
 * @param lossShare share of the messages between hosts that are lost
 * @param crashing requests that crash endpoints
 * @param policy what hosts do about them
 */
record PartScenario(
        int hosts,
        int endpoints,
        int slots,
        double soundPerSecond,
        int subjects,
        double lossShare,
        List<Crashing> crashing,
        PartPolicy policy) {
    static final String SERVICE = "s";
    static final String MODEL = "m";

    /** The parts that most requests begin with. */
    static final int FIRST_PARTS = 6;

    /** A small deployment without crashing requests. */
    static PartScenario small() {
        return new PartScenario(8, 13, 8, 57, 1500, 0, List.of(), PartPolicy.ISOLATED);
    }

    /** A large deployment without crashing requests. */
    static PartScenario large() {
        return new PartScenario(70, 62, 8, 311, 9000, 0, List.of(), PartPolicy.ISOLATED);
    }

    PartScenario with(Crashing... requests) {
        return new PartScenario(
                hosts, endpoints, slots, soundPerSecond, subjects, lossShare, List.of(requests), policy);
    }

    PartScenario with(PartPolicy otherPolicy) {
        return new PartScenario(hosts, endpoints, slots, soundPerSecond, subjects, lossShare, crashing, otherPolicy);
    }

    PartScenario withLoss(double share) {
        return new PartScenario(hosts, endpoints, slots, soundPerSecond, subjects, share, crashing, policy);
    }

    /**
     * Requests with a part that crashes the endpoints that begin an answer. Immutable.
     *
     * @param prompt the parts of their prompts but the last; {@code *} stands for the crashing part, {@code ?} for a subject that
     *     sound requests have, too
     * @param part the crashing part
     * @param perSecond their rate over all hosts
     * @param fromSeconds when they begin
     * @param untilSeconds when they end
     * @param crashMillis the time from the beginning of the answer to the crash
     * @param repeatShare share of them that repeat an earlier one
     * @param versions the software versions that they crash
     */
    record Crashing(
            String prompt,
            String part,
            double perSecond,
            double fromSeconds,
            double untilSeconds,
            double crashMillis,
            double repeatShare,
            Set<String> versions) {
        /** Requests with the part in the second of three places. */
        static Crashing second(double perSecond) {
            return new Crashing("f0 *", "bad", perSecond, 5, 40, 60, 0.2, Set.of("v1"));
        }

        Crashing inPrompt(String otherPrompt) {
            return new Crashing(
                    otherPrompt, part, perSecond, fromSeconds, untilSeconds, crashMillis, repeatShare, versions);
        }

        Crashing named(String otherPart) {
            return new Crashing(
                    prompt, otherPart, perSecond, fromSeconds, untilSeconds, crashMillis, repeatShare, versions);
        }

        Crashing after(double millis) {
            return new Crashing(prompt, part, perSecond, fromSeconds, untilSeconds, millis, repeatShare, versions);
        }

        Crashing at(String... crashedVersions) {
            return new Crashing(
                    prompt,
                    part,
                    perSecond,
                    fromSeconds,
                    untilSeconds,
                    crashMillis,
                    repeatShare,
                    Set.of(crashedVersions));
        }
    }
}
