package org.gooseberryhill.process;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.gooseberryhill.configuration.Configuration;
import org.gooseberryhill.decision.configuration.ActiveConfiguration;
import org.gooseberryhill.decision.configuration.ActiveConfiguration.Offer;
import org.gooseberryhill.decision.configuration.TextChange;
import org.gooseberryhill.decision.ownership.Ownership;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.Keys;
import org.gooseberryhill.external.StreamingKeyValueStore;
import org.gooseberryhill.host.Host;
import org.gooseberryhill.host.HostId;
import org.gooseberryhill.host.Role;
import org.gooseberryhill.peer.PeerMessage;
import org.gooseberryhill.timeline.EventKind;

/**
 * Distributes the accepted configuration and activates it on this host. Confined to the control thread.
 *
 * <p>Two stewards per availability zone watch the configuration's key and push each change to the hosts of their zone. A
 * host that misses a push sees a greater revision in a heartbeat and requests the text. A host that starts while the
 * key-value store is unavailable gets the text from its peers in the same way.
 */
public final class ConfigurationDriver {
    private static final Logger LOG = LogManager.getLogger(ConfigurationDriver.class);
    private static final int WATCHERS_PER_ZONE = 2;
    private static final long REVISION_CHECK_PERIOD_MILLIS = 10_000;
    private static final long WATCH_RETRY_DELAY_MILLIS = 500;

    private final HostProcess process;
    private final ActiveConfiguration activeConfiguration = new ActiveConfiguration();
    private final List<Consumer<Configuration>> listeners = new ArrayList<>();
    private Optional<Closeable> watch = Optional.empty();
    private boolean requestPending;
    private boolean openingWatch;

    ConfigurationDriver(HostProcess process) {
        this.process = process;
    }

    /** Adds a listener that is called on the control thread with each configuration that becomes active. */
    public void onChange(Consumer<Configuration> listener) {
        listeners.add(listener);
    }

    /** Returns the revision of the active configuration; 0 if there is none yet. */
    public long revision() {
        return activeConfiguration.revision();
    }

    /** Returns the active configuration. */
    public Configuration current() {
        return activeConfiguration.configuration();
    }

    void start() {
        readConfiguration();
        process.onMembershipChange(this::updateWatch);
        process.loop().every(REVISION_CHECK_PERIOD_MILLIS, () -> {
            if (watch.isPresent()) {
                checkRevision();
            }
        });
    }

    void fetchIfNewer(HostId from, long revision) {
        if (revision <= activeConfiguration.revision() || requestPending) {
            return;
        }
        process.membership().find(from).ifPresent(host -> {
            requestPending = true;
            process.ask(host, new PeerMessage.ConfigurationRequest(activeConfiguration.revision()))
                    .whenComplete((reply, failure) -> process.loop().execute(() -> {
                        requestPending = false;
                        if (reply instanceof PeerMessage.ConfigurationPush push) {
                            offer(push.revision(), push.text(), "peer " + from);
                        }
                    }));
        });
    }

    Optional<CompletableFuture<PeerMessage>> handle(HostId from, PeerMessage message) {
        if (message instanceof PeerMessage.ConfigurationChange change) {
            applyChange(from, change);
            return Optional.of(MessageHandler.reply(new PeerMessage.Ack()));
        }
        if (message instanceof PeerMessage.ConfigurationPush push) {
            offer(push.revision(), push.text(), "push");
            return Optional.of(MessageHandler.reply(new PeerMessage.Ack()));
        }
        if (message instanceof PeerMessage.ConfigurationRequest request) {
            boolean newer = activeConfiguration.revision() > request.haveRevision();
            return Optional.of(MessageHandler.reply(
                    newer
                            ? new PeerMessage.ConfigurationPush(
                                    activeConfiguration.revision(), activeConfiguration.text())
                            : new PeerMessage.Ack()));
        }
        return Optional.empty();
    }

    private void updateWatch() {
        boolean watcher = isWatcher();
        if (watcher && watch.isEmpty() && !openingWatch) {
            openWatch();
        }
        if (!watcher && watch.isPresent()) {
            closeQuietly(watch.get());
            watch = Optional.empty();
        }
    }

    private boolean isWatcher() {
        if (process.settings().self().role() != Role.STEWARD) {
            return false;
        }
        List<Host> zoneStewards = process.presentHosts(Role.STEWARD).stream()
                .filter(host -> host.zone().equals(process.settings().self().zone()))
                .toList();
        return Ownership.rank("configuration-watch", zoneStewards).stream()
                .limit(WATCHERS_PER_ZONE)
                .anyMatch(process::isSelf);
    }

    private void openWatch() {
        openingWatch = true;
        // The watch starts right after the revision of the read, so that no write in between is missed.
        process.keyValue()
                .read(Keys.CONFIGURATION)
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    openingWatch = false;
                    if (failure != null) {
                        process.loop().after(WATCH_RETRY_DELAY_MILLIS, this::updateWatch);
                        return;
                    }
                    result.first().ifPresent(entry -> offerEntry(entry, "read"));
                    watch = Optional.of(
                            process.keyValue().watch(Keys.CONFIGURATION, result.revision() + 1, new KeyWatch()));
                }));
    }

    /** Detects a watch that stopped without notice. Reads only the revision, because the text is large. */
    private void checkRevision() {
        process.keyValue()
                .readRevision(Keys.CONFIGURATION)
                .whenComplete((revision, failure) -> process.loop().execute(() -> {
                    if (failure == null && revision > activeConfiguration.revision()) {
                        readConfiguration();
                    }
                }));
    }

    private void readConfiguration() {
        process.keyValue()
                .read(Keys.CONFIGURATION)
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    if (failure == null) {
                        result.first().ifPresent(entry -> offerEntry(entry, "read"));
                    }
                }));
    }

    private void offerEntry(KeyValueStore.Entry entry, String source) {
        ConfigurationCodec.decode(entry.value())
                .onSuccess(record -> offer(entry.modRevision(), record.text(), source))
                .onFailure(failure -> LOG.warn("cannot decode the stored configuration: {}", failure.toString()));
    }

    private void applyChange(HostId from, PeerMessage.ConfigurationChange change) {
        Optional<String> text = change.baseRevision() == activeConfiguration.revision()
                ? change.change().applyTo(activeConfiguration.text())
                : Optional.empty();
        if (text.isPresent()) {
            offer(change.revision(), text.get(), "push");
        } else {
            fetchIfNewer(from, change.revision());
        }
    }

    private void offer(long revision, String text, String source) {
        long baseRevision = activeConfiguration.revision();
        String baseText = activeConfiguration.text();
        Offer offer = activeConfiguration.offer(revision, text);
        if (offer == Offer.INVALID) {
            LOG.warn("rejected invalid configuration revision {}: {}", revision, activeConfiguration.findings());
        }
        if (offer != Offer.APPLIED) {
            return;
        }
        process.timeline()
                .event(EventKind.CONFIGURATION_IN_FORCE)
                .with("revision", revision)
                .with("source", source)
                .write();
        LOG.info("activated configuration revision {} (source: {})", revision, source);
        listeners.forEach(listener -> listener.accept(activeConfiguration.configuration()));
        if (watch.isPresent()) {
            TextChange change = TextChange.between(baseText, activeConfiguration.text());
            pushToZone(new PeerMessage.ConfigurationChange(baseRevision, activeConfiguration.revision(), change));
        }
    }

    /** Pushes a change to the hosts of this zone; the full text would use up most of a watcher's bandwidth budget. */
    private void pushToZone(PeerMessage push) {
        process.membership().presentHosts().stream()
                .filter(host -> host.zone().equals(process.settings().self().zone()))
                .forEach(host -> process.send(host, push));
    }

    private static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            LOG.debug("failed to close the configuration watch: {}", e.toString());
        }
    }

    /** Handles the events of the watch and reopens it when it ends. */
    private final class KeyWatch implements StreamingKeyValueStore.WatchListener {
        @Override
        public void onChange(String key, Optional<KeyValueStore.Entry> entry) {
            process.loop().execute(() -> entry.ifPresent(found -> offerEntry(found, "watch")));
        }

        @Override
        public void onEnd() {
            process.loop().execute(() -> {
                watch = Optional.empty();
                process.loop().after(WATCH_RETRY_DELAY_MILLIS, ConfigurationDriver.this::updateWatch);
            });
        }
    }
}
