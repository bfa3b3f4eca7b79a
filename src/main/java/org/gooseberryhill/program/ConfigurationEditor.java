package org.gooseberryhill.program;

import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import org.gooseberryhill.decision.configuration.ConfigurationEdit;
import org.gooseberryhill.decision.configuration.ConfigurationEdit.Step;
import org.gooseberryhill.decision.configuration.ConfigurationRecord;
import org.gooseberryhill.external.KeyValueStore;
import org.gooseberryhill.external.Keys;
import org.gooseberryhill.external.StreamingKeyValueStore;
import org.gooseberryhill.external.Transaction;
import org.gooseberryhill.process.ConfigurationCodec;

/** Reads and edits the configuration and its history in the key-value store. Used by one thread; calls block. */
public final class ConfigurationEditor {
    /** Number of latest edits that the history retains. */
    public static final int MAX_HISTORY_RECORDS = 50;

    private static final int HISTORY_PAGE_SIZE = 1000;

    private final StreamingKeyValueStore keyValue;

    /** Creates an editor of the configuration in a key-value store. */
    public ConfigurationEditor(StreamingKeyValueStore keyValue) {
        this.keyValue = keyValue;
    }

    /** Returns the current configuration record with its revision; empty if there is none yet. */
    public Optional<StoredRecord> read() {
        return keyValue.read(Keys.CONFIGURATION).join().first().map(ConfigurationEditor::decode);
    }

    /** Returns the records in the history, oldest first. */
    public List<StoredRecord> history() {
        return keyValue.readPrefix(Keys.HISTORY, Keys.HISTORY, HISTORY_PAGE_SIZE).join().entries().stream()
                .map(ConfigurationEditor::decode)
                .toList();
    }

    /** Replaces the configuration if it is still at the base revision; returns the final step of the edit. */
    public Step apply(String text, String author, long baseRevision) {
        String editId = UUID.randomUUID().toString();
        ConfigurationRecord record = new ConfigurationRecord(editId, author, System.currentTimeMillis(), text);
        ConfigurationEdit edit = new ConfigurationEdit(editId, baseRevision);
        Step step = edit.begin();
        while (step == Step.WRITE || step == Step.READ) {
            step = step == Step.WRITE ? write(edit, record, baseRevision) : readBack(edit);
        }
        if (step == Step.ACCEPTED) {
            trimHistory();
        }
        return step;
    }

    private Step write(ConfigurationEdit edit, ConfigurationRecord record, long baseRevision) {
        byte[] value = ConfigurationCodec.encode(record);
        String historyKey = Keys.HISTORY + "%015d-%s".formatted(record.appliedMillis(), record.editId());
        Transaction transaction = Transaction.builder()
                .ifRevisionIs(Keys.CONFIGURATION, baseRevision)
                .put(Keys.CONFIGURATION, value)
                .put(historyKey, value)
                .build();
        try {
            return edit.written(keyValue.write(transaction).join().succeeded());
        } catch (CompletionException e) {
            return edit.onNoAnswer();
        }
    }

    private Step readBack(ConfigurationEdit edit) {
        try {
            Optional<StoredRecord> stored = read();
            return edit.read(
                    stored.map(StoredRecord::record),
                    stored.map(StoredRecord::revision).orElse(0L));
        } catch (CompletionException e) {
            return edit.onNoAnswer();
        }
    }

    private void trimHistory() {
        try {
            List<KeyValueStore.Entry> entries = keyValue.readPrefix(Keys.HISTORY, Keys.HISTORY, HISTORY_PAGE_SIZE)
                    .join()
                    .entries();
            Transaction.Builder deletion = Transaction.builder();
            entries.stream()
                    .limit(Math.max(0, entries.size() - MAX_HISTORY_RECORDS))
                    .forEach(entry -> deletion.delete(entry.key()));
            keyValue.write(deletion.build()).join();
        } catch (CompletionException e) {
            // The edit itself is accepted; the next edit trims the history.
            return;
        }
    }

    private static StoredRecord decode(KeyValueStore.Entry entry) {
        return new StoredRecord(ConfigurationCodec.decode(entry.value()).get(), entry.modRevision());
    }

    /**
     * A configuration record in the key-value store.
     *
     * @param record the record
     * @param revision the revision at which the record was written
     */
    public record StoredRecord(ConfigurationRecord record, long revision) {}
}
