package org.gooseberryhill.decision.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gooseberryhill.account.ClientAccount;
import org.gooseberryhill.contract.Outcome;
import org.gooseberryhill.decision.promptpart.IsolationPermit;
import org.gooseberryhill.directory.EndpointEntry;
import org.gooseberryhill.directory.EndpointGroup;
import org.gooseberryhill.directory.EndpointKey;
import org.gooseberryhill.directory.ServiceVersion;

/**
 * A routed request in progress. Not thread-safe; modified by {@link DispatchCore} only, except for {@link
 * #answerStarted}.
 *
 * <p>Invariants: once an attempt may have run, the request may have run, whatever the results of later attempts; once the caller
 * has received a part of a stream, the version that began it does not change.
 */
public final class RoutedRequest {
    /** Each costs a round trip; the load of groups that were passed over hardly changes meanwhile. */
    private static final int MAX_ASKED_GROUPS = 3;

    private final RoutedRequestInfo info;
    private final Set<EndpointKey> tried = new HashSet<>();
    private final Set<EndpointKey> refusedBy = new HashSet<>();
    private final Set<EndpointGroup> askedGroups = new HashSet<>();
    private boolean redirectedBack;
    private boolean redirected;
    private final List<PastAttempt> pastAttempts = new ArrayList<>();
    private Optional<EndpointEntry> endpoint = Optional.empty();
    private Optional<ServiceVersion> beganAt;
    private RequestProgress progress = new RequestProgress(Outcome.NOT_RUN, 0, 0, false);
    private boolean leftSilentEndpoint;
    private boolean countedAgainstQuota;
    private long attemptStartedNanos;
    private Optional<Long> waitingForVersionSinceNanos = Optional.empty();
    private Optional<Long> waitingForPermitSinceNanos = Optional.empty();
    private Optional<IsolationPermit> permit = Optional.empty();
    private Set<ServiceVersion> avoidedVersions = Set.of();
    private boolean unpermitted;

    RoutedRequest(RoutedRequestInfo info) {
        this.info = info;
        this.beganAt = info.beganAt();
    }

    /** Returns the data that was known when the request arrived. */
    public RoutedRequestInfo info() {
        return info;
    }

    /** Returns the endpoint that has the request now; empty between attempts. */
    public Optional<EndpointKey> endpoint() {
        return endpoint.map(EndpointEntry::key);
    }

    /** Returns the registration of the endpoint that has the request now; empty between attempts. */
    public Optional<EndpointEntry> endpointEntry() {
        return endpoint;
    }

    /** Returns what is known about the effect of the request so far. */
    public Outcome outcome() {
        return progress.outcome();
    }

    /** Returns the number of endpoints that may have run the request. */
    public int possibleRuns() {
        return progress.possibleRuns();
    }

    /** Returns the number of times that the request was sent. */
    public int sends() {
        return progress.sends();
    }

    /** Returns the finished attempts in order. */
    public List<PastAttempt> pastAttempts() {
        return List.copyOf(pastAttempts);
    }

    /** Records that the caller has received a part of the answer; called before the end of the attempt that sent it. */
    public void answerStarted() {
        progress = progress.withAnswerStarted();
        beganAt = beganAt.or(() -> endpoint.map(EndpointEntry::serviceVersion));
    }

    /** Returns the version that began the stream, if the caller has received a part of it. */
    public Optional<ServiceVersion> beganAt() {
        return beganAt;
    }

    /** Returns whether an endpoint may get the next attempt by what is known of the request, usable or not. */
    boolean maySendTo(EndpointEntry candidate) {
        return !tried.contains(candidate.key())
                && !avoidedVersions.contains(candidate.serviceVersion())
                && permit.flatMap(IsolationPermit::endpoint)
                        .map(candidate.key()::equals)
                        .orElse(true)
                && (beganAt.isEmpty() || beganAt.get().equals(candidate.serviceVersion()));
    }

    /** Excludes the endpoints of some versions, in place of those that were excluded before. */
    void avoid(Set<ServiceVersion> versions) {
        avoidedVersions = versions;
    }

    /** Returns the permit to run although a part of the prompt may crash endpoints, if the request has one. */
    public Optional<IsolationPermit> permit() {
        return permit;
    }

    /** Removes and returns the permit, which its holder returns. */
    public Optional<IsolationPermit> takePermit() {
        Optional<IsolationPermit> taken = permit;
        permit = Optional.empty();
        return taken;
    }

    void permitted(IsolationPermit given) {
        permit = Optional.of(given);
        waitingForPermitSinceNanos = Optional.empty();
    }

    /** Lets the next attempt run without a permit, since nobody can tell whether there is one. */
    void runUnpermitted() {
        unpermitted = true;
    }

    boolean runsUnpermitted() {
        return unpermitted;
    }

    /** Returns for how long the request has waited for a permit, in nanoseconds. */
    long waitForPermit(long nowNanos) {
        waitingForPermitSinceNanos = waitingForPermitSinceNanos.or(() -> Optional.of(nowNanos));
        return nowNanos - waitingForPermitSinceNanos.get();
    }

    /** Returns whether the request counts against the quota of its client account. */
    public boolean isCountedAgainstQuota() {
        return countedAgainstQuota;
    }

    /** Records that the request counts against the quota of its client account, however often it is sent. */
    void admitted() {
        countedAgainstQuota = quotaAccount().isPresent();
    }

    /** Returns the account whose quota the request has to be counted against; empty if there is none, or it was. */
    Optional<String> quotaAccount() {
        return info.caller()
                .account()
                .filter(account -> account.quota().isPresent() && !countedAgainstQuota)
                .map(ClientAccount::name);
    }

    /** Returns the progress; an attempt in progress counts as a send, but not yet as a run. */
    RequestProgress progress() {
        return progress;
    }

    Set<EndpointKey> tried() {
        return tried;
    }

    /** Returns whether the request may be refused because of load: no endpoint has had it yet. */
    boolean isRefusable() {
        return progress.sends() == 0;
    }

    /** Begins the choice of an endpoint for the next attempt. */
    void placementStarted() {
        askedGroups.clear();
        redirectedBack = false;
        redirected = false;
    }

    /** Records that the coordinator of a group is asked for an endpoint; returns false if it was asked before. */
    boolean groupAsked(EndpointGroup group) {
        return askedGroups.size() < MAX_ASKED_GROUPS && askedGroups.add(group);
    }

    /** Records that a coordinator names another group. */
    void redirected() {
        redirected = true;
    }

    /** Returns whether a coordinator has named another group for the latest attempt. */
    public boolean wasRedirected() {
        return redirected;
    }

    /** Returns the groups whose coordinators were asked for the next attempt. */
    Set<EndpointGroup> askedGroups() {
        return askedGroups;
    }

    /** Returns whether the coordinator that is asked now may name another group. */
    boolean isRedirectable() {
        return askedGroups.size() < MAX_ASKED_GROUPS && !redirectedBack;
    }

    /**
     * Records that a coordinator named a group that was asked before, so that the group is asked once more and has to decide
     * itself; returns false if this has happened before.
     */
    boolean redirectedBack() {
        boolean first = !redirectedBack;
        redirectedBack = true;
        return first;
    }

    /** Returns whether the request may wait for an endpoint when none can take it now. */
    boolean mayWaitForEndpoint() {
        return leftSilentEndpoint || (progress.answerStarted() && !refusedBy.isEmpty());
    }

    /** Returns for how long the request has waited for an endpoint of the version that began it, in nanoseconds. */
    long waitForVersion(long nowNanos) {
        waitingForVersionSinceNanos = waitingForVersionSinceNanos.or(() -> Optional.of(nowNanos));
        return nowNanos - waitingForVersionSinceNanos.get();
    }

    long remainingMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(info.deadlineNanos() - nowNanos);
    }

    /** Returns the duration of the current attempt so far, in nanoseconds. */
    public long attemptNanos(long nowNanos) {
        return nowNanos - attemptStartedNanos;
    }

    void attemptStarted(EndpointEntry entry, long nowNanos) {
        endpoint = Optional.of(entry);
        waitingForVersionSinceNanos = Optional.empty();
        progress = progress.withSend();
        attemptStartedNanos = nowNanos;
    }

    void attemptEnded(AttemptEnd end, long nowNanos) {
        endpoint().ifPresent(key -> {
            if (end == AttemptEnd.BUSY && (progress.answerStarted() || leftSilentEndpoint)) {
                // The request may wait and be sent to this endpoint again, so the endpoint is not excluded.
                refusedBy.add(key);
            } else {
                tried.add(key);
            }
            pastAttempts.add(new PastAttempt(key.id(), end, TimeUnit.NANOSECONDS.toMillis(attemptNanos(nowNanos))));
        });
        endpoint = Optional.empty();
        unpermitted = false;
        leftSilentEndpoint |= end == AttemptEnd.SILENT;
        progress = progress.after(end);
    }
}
