package org.gooseberryhill.decision.replay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.gooseberryhill.decision.promptpart.BlockChange;
import org.gooseberryhill.decision.promptpart.PromptPartKey;

/** What callers and endpoints see of a replay of requests whose prompts share parts. */
final class PartReplayFigures {
    /** Time after which hosts that are in touch with the others have to know of a crash. */
    static final double STABLE_SECONDS = 3;

    private final List<PartScenario.Crashing> crashing;
    private final List<PartReplayCall> calls = new ArrayList<>();
    private final List<Crash> crashes = new ArrayList<>();
    private final List<Sending> sendings = new ArrayList<>();
    private final Set<String> everBlocked = new HashSet<>();

    PartReplayFigures(List<PartScenario.Crashing> crashing) {
        this.crashing = crashing;
    }

    /** Records a request of a caller. */
    void arrived(PartReplayCall call) {
        calls.add(call);
    }

    /** Returns the number of requests so far. */
    int callCount() {
        return calls.size();
    }

    /** Records that a request with a part has crashed an endpoint. */
    void crashed(String part, double atSeconds) {
        crashes.add(new Crash(part, atSeconds));
    }

    /** Records that a host has sent a request to an endpoint of a version. */
    void sent(PartReplayCall call, String softwareVersion, double atSeconds, boolean inTouch) {
        crashing.stream()
                .filter(requests -> call.sharedParts().contains(requests.part()))
                .filter(requests -> requests.versions().contains(softwareVersion))
                .forEach(requests -> sendings.add(new Sending(requests.part(), atSeconds, inTouch)));
    }

    /** Returns the number of crashes that requests with a part have caused. */
    long crashesBy(String part) {
        return crashes.stream().filter(crash -> crash.part.equals(part)).count();
    }

    /** Returns how many requests with a part hosts in touch sent later than the stable time after its fifth crash. */
    long sentAfterFifthCrash(String part) {
        List<Crash> ofPart =
                crashes.stream().filter(crash -> crash.part.equals(part)).toList();
        if (ofPart.size() < 5) {
            return 0;
        }
        double boundSeconds = ofPart.get(4).atSeconds + STABLE_SECONDS;
        return sendings.stream()
                .filter(sending -> sending.part.equals(part) && sending.inTouch && sending.atSeconds > boundSeconds)
                .count();
    }

    /** Returns when sound requests must begin again nearly as often as before: twice the stable time after the last crash. */
    double settledSeconds(String part) {
        return crashes.stream()
                        .filter(crash -> crash.part.equals(part))
                        .mapToDouble(Crash::atSeconds)
                        .max()
                        .orElse(0)
                + 2 * STABLE_SECONDS;
    }

    /** Returns the share of the sound requests of a time and kind that began at the first attempt. */
    double begunShare(double fromSeconds, double untilSeconds, Predicate<PartReplayCall> kind) {
        List<PartReplayCall> chosen = sound(fromSeconds, untilSeconds, kind);
        return (double) chosen.stream()
                        .filter(PartReplayCall::isBegunAtFirstAttempt)
                        .count()
                / Math.max(1, chosen.size());
    }

    /** Returns the share of the sound requests of a time that were refused because of a part of their prompts. */
    double quarantinedShare(double fromSeconds, double untilSeconds) {
        List<PartReplayCall> chosen = sound(fromSeconds, untilSeconds, call -> true);
        return (double) chosen.stream().filter(PartReplayCall::isQuarantined).count() / Math.max(1, chosen.size());
    }

    /** Records a change of what a host refuses. */
    void changed(BlockChange change) {
        if (change.kind() == BlockChange.Kind.BLOCKED) {
            everBlocked.add(name(change.block().parts()));
        }
    }

    /** Returns the parts that any host has ever blocked, those of blocks with several parts joined. */
    Set<String> everBlockedParts() {
        return Set.copyOf(everBlocked);
    }

    static String name(Set<PromptPartKey> parts) {
        return parts.stream().map(PromptPartKey::part).sorted().collect(Collectors.joining("+"));
    }

    /** Returns the share of the requests of a time with a crashing part that were answered. */
    double answeredShare(String part, double fromSeconds, double untilSeconds) {
        List<PartReplayCall> chosen = calls.stream()
                .filter(call -> call.sharedParts().contains(part))
                .filter(call -> call.atSeconds() >= fromSeconds && call.atSeconds() < untilSeconds)
                .toList();
        return (double) chosen.stream().filter(PartReplayCall::isAnswered).count() / Math.max(1, chosen.size());
    }

    private boolean isSound(PartReplayCall call) {
        return crashing.stream().noneMatch(requests -> call.sharedParts().contains(requests.part()));
    }

    private List<PartReplayCall> sound(double fromSeconds, double untilSeconds, Predicate<PartReplayCall> kind) {
        return calls.stream()
                .filter(call -> call.crashing().isEmpty() && isSound(call) && kind.test(call))
                .filter(call -> call.atSeconds() >= fromSeconds && call.atSeconds() < untilSeconds)
                .toList();
    }

    /** A crash that a request with a part has caused. */
    private record Crash(String part, double atSeconds) {}

    /** A request with a part that a host has sent to an endpoint. */
    private record Sending(String part, double atSeconds, boolean inTouch) {}
}
