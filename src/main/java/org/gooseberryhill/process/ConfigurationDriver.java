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
import org.gooseberryhill.decision.configuration.ConfigurationInForce;
import org.gooseberryhill.decision.configuration.ConfigurationInForce.Offer;
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
 * Brings the accepted configuration into force on this host. Used by the control thread only.
 *
 * <p>Two stewards a zone watch the key and push each new text to the hosts of their zone. Whoever misses the push sees
 * a greater revision on a heartbeat and asks for the text. A host that starts while the key-value service is out gets
 * the text from its peers in the same way.
 */
public final class ConfigurationDriver {
    private static final Logger LOG = LogManager.getLogger(ConfigurationDriver.class);
    private static final int WATCHERS_PER_ZONE = 2;
    private static final long REREAD_MILLIS = 10_000;
    private static final long WATCH_RETRY_MILLIS = 500;

    private final HostProcess process;
    private final ConfigurationInForce inForce = new ConfigurationInForce();
    private final List<Consumer<Configuration>> listeners = new ArrayList<>();
    private Optional<Closeable> watch = Optional.empty();
    private boolean asking;
    private boolean opening;

    ConfigurationDriver(HostProcess process) {
        this.process = process;
    }

    /** Calls back on the control thread with each configuration that comes into force. */
    public void onChange(Consumer<Configuration> listener) {
        listeners.add(listener);
    }

    /** The revision in force; 0 before the first. */
    public long revision() {
        return inForce.revision();
    }

    /** The configuration in force. */
    public Configuration current() {
        return inForce.configuration();
    }

    void start() {
        readKey();
        process.onMembershipChange(this::watchIfChosen);
        process.loop().every(REREAD_MILLIS, () -> {
            if (watch.isPresent()) {
                checkRevision();
            }
        });
    }

    void heardRevision(HostId from, long revision) {
        if (revision <= inForce.revision() || asking) {
            return;
        }
        process.membership().find(from).ifPresent(host -> {
            asking = true;
            process.ask(host, new PeerMessage.ConfigurationAsk(inForce.revision()))
                    .whenComplete((reply, failure) -> process.loop().execute(() -> {
                        asking = false;
                        if (reply instanceof PeerMessage.ConfigurationPush push) {
                            offer(push.revision(), push.text(), "peer " + from);
                        }
                    }));
        });
    }

    Optional<CompletableFuture<PeerMessage>> handle(HostId from, PeerMessage message) {
        if (message instanceof PeerMessage.ConfigurationChange change) {
            takeChange(from, change);
            return Optional.of(MessageHandler.reply(new PeerMessage.Ack()));
        }
        if (message instanceof PeerMessage.ConfigurationPush push) {
            offer(push.revision(), push.text(), "push");
            return Optional.of(MessageHandler.reply(new PeerMessage.Ack()));
        }
        if (message instanceof PeerMessage.ConfigurationAsk question) {
            boolean newer = inForce.revision() > question.haveRevision();
            return Optional.of(MessageHandler.reply(
                    newer
                            ? new PeerMessage.ConfigurationPush(inForce.revision(), inForce.text())
                            : new PeerMessage.Ack()));
        }
        return Optional.empty();
    }

    private void watchIfChosen() {
        boolean chosen = isWatcher();
        if (chosen && watch.isEmpty() && !opening) {
            openWatch();
        }
        if (!chosen && watch.isPresent()) {
            closeQuietly(watch.get());
            watch = Optional.empty();
        }
    }

    private boolean isWatcher() {
        if (process.settings().self().role() != Role.STEWARD) {
            return false;
        }
        List<Host> zoneStewards = process.present(Role.STEWARD).stream()
                .filter(host -> host.zone().equals(process.settings().self().zone()))
                .toList();
        return Ownership.rank("configuration-watch", zoneStewards).stream()
                .limit(WATCHERS_PER_ZONE)
                .anyMatch(process::isSelf);
    }

    private void openWatch() {
        opening = true;
        // The watch goes on from the revision of the reading, so that no write falls between the two.
        process.keyValue()
                .read(Keys.CONFIGURATION)
                .whenComplete((result, failure) -> process.loop().execute(() -> {
                    opening = false;
                    if (failure != null) {
                        process.loop().after(WATCH_RETRY_MILLIS, this::watchIfChosen);
                        return;
                    }
                    result.first().ifPresent(entry -> offerEntry(entry, "read"));
                    watch = Optional.of(
                            process.keyValue().watch(Keys.CONFIGURATION, result.revision() + 1, new KeyWatch()));
                }));
    }

    /** A watch may be cut off without a sign; the revision alone is read, since the text is large. */
    private void checkRevision() {
        process.keyValue()
                .readRevision(Keys.CONFIGURATION)
                .whenComplete((revision, failure) -> process.loop().execute(() -> {
                    if (failure == null && revision > inForce.revision()) {
                        readKey();
                    }
                }));
    }

    private void readKey() {
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
                .onFailure(failure -> LOG.warn("the configuration's value can't be read: {}", failure.toString()));
    }

    private void takeChange(HostId from, PeerMessage.ConfigurationChange change) {
        Optional<String> text = change.baseRevision() == inForce.revision()
                ? change.change().applyTo(inForce.text())
                : Optional.empty();
        if (text.isPresent()) {
            offer(change.revision(), text.get(), "push");
        } else {
            heardRevision(from, change.revision());
        }
    }

    private void offer(long revision, String text, String source) {
        long baseRevision = inForce.revision();
        String baseText = inForce.text();
        Offer offer = inForce.offer(revision, text);
        if (offer == Offer.INVALID) {
            LOG.warn("revision {} is not valid and stays out of force: {}", revision, inForce.findings());
        }
        if (offer != Offer.APPLIED) {
            return;
        }
        process.timeline()
                .event(EventKind.CONFIGURATION_IN_FORCE)
                .with("revision", revision)
                .with("source", source)
                .write();
        LOG.info("configuration revision {} is in force, by {}", revision, source);
        listeners.forEach(listener -> listener.accept(inForce.configuration()));
        if (watch.isPresent()) {
            TextChange change = TextChange.between(baseText, inForce.text());
            pushToZone(new PeerMessage.ConfigurationChange(baseRevision, inForce.revision(), change));
        }
    }

    /** Only what changed: a whole text to each host of a zone would be most of what a watcher may send. */
    private void pushToZone(PeerMessage push) {
        process.membership().present().stream()
                .filter(host -> host.zone().equals(process.settings().self().zone()))
                .forEach(host -> process.tell(host, push));
    }

    private static void closeQuietly(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            LOG.debug("a watch could not be closed: {}", e.toString());
        }
    }

    /** Follows the watch of the key. */
    private final class KeyWatch implements StreamingKeyValueStore.WatchListener {
        @Override
        public void onChange(String key, Optional<KeyValueStore.Entry> entry) {
            process.loop().execute(() -> entry.ifPresent(found -> offerEntry(found, "watch")));
        }

        @Override
        public void onEnd() {
            process.loop().execute(() -> {
                watch = Optional.empty();
                process.loop().after(WATCH_RETRY_MILLIS, ConfigurationDriver.this::watchIfChosen);
            });
        }
    }
}
