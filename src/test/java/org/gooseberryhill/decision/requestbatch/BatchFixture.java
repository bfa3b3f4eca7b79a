package org.gooseberryhill.decision.requestbatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhill.directory.ServiceVersion;

/** Creates small batches for tests and runs their items. */
final class BatchFixture {
    /** The version of the endpoints that run items. */
    static final ServiceVersion VERSION = new ServiceVersion("s", "v1");

    private BatchFixture() {}

    static BatchRecord record(int items, String owner, String start) {
        return new BatchRecord("h", "/b/1", "hash", owner, start, 0, 1, items, false, List.of(), 0, Optional.empty());
    }

    static List<BatchItem> items(int count) {
        List<BatchItem> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            items.add(new BatchItem("i" + i, "/b/1/" + i, Map.of(), new byte[0], 100));
        }
        return items;
    }

    static OwnedBatch batch(int items) {
        return new OwnedBatch("batch", record(items, "a", "1"), 5, items(items), List.of());
    }

    /** Completes an item in one run with a number of events after its last one. */
    static void run(OwnedBatch batch, ItemProgress item, int events) {
        batch.runStarted(item, VERSION);
        events(item, events);
        batch.runEnded(item, RunEnd.COMPLETED, 3, 0);
    }

    /** Appends events with consecutive ids after the last event of the item. */
    static void events(ItemProgress item, int count) {
        long firstId = item.lastEventId().orElse(0L) + 1;
        for (long id = firstId; id < firstId + count; id++) {
            item.appendEvent(Optional.of(id), "w" + id);
        }
    }
}
