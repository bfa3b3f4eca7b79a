package org.gooseberryhill.view;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhill.external.KeyChange;
import org.junit.jupiter.api.Test;

class KeyViewProperties {
    private static final List<String> KEYS = List.of("a", "b", "c");

    /**
     * Changes and listings arrive from the store and from other hosts repeatedly, late and out of order. Once all
     * changes up to the latest revision have arrived, the view equals the store's content; until then no key goes back
     * to an older revision.
     */
    @Property
    void viewConvergesToTheStoreAndNeverGoesBackInAnyOrderOfUpdates(@ForAll Random random) {
        List<KeyChange> history = new ArrayList<>();
        for (long revision = 2; revision < 30; revision++) {
            String key = KEYS.get(random.nextInt(KEYS.size()));
            history.add(
                    random.nextInt(3) == 0
                            ? KeyChange.deleted(key, revision)
                            : KeyChange.written(key, new byte[] {(byte) revision}, revision));
        }
        KeyView view = new KeyView();
        Map<String, Long> newest = new TreeMap<>();
        view.applyListing(1, List.of());
        for (int i = 0; i < 60; i++) {
            applyRandomUpdate(view, history, random);
            for (KeyChange entry : view.entries()) {
                assertThat(entry.revision()).isGreaterThanOrEqualTo(newest.getOrDefault(entry.key(), 0L));
                newest.put(entry.key(), entry.revision());
            }
        }
        view.applyChanges(view.revision(), 29, after(history, view.revision(), 29));

        assertThat(view.entries()).containsExactlyElementsOf(listing(history, 29));
    }

    /**
     * Another host forwards changes that begin after the view's revision: applying them would hide the missing ones.
     */
    @Test
    void changesAfterAGapAreRejected() {
        KeyView view = new KeyView();
        view.applyListing(5, List.of());

        assertThat(view.applyChanges(7, 8, List.of(KeyChange.written("a", new byte[0], 8))))
                .isEmpty();
        assertThat(view.revision()).isEqualTo(5);
    }

    /** If the store no longer has the history, only the absence of a key from the listing shows that it was deleted. */
    @Test
    void aKeyAbsentFromAListingIsRemovedUnlessItIsNewer() {
        KeyView view = new KeyView();
        view.applyListing(5, List.of(KeyChange.written("a", new byte[0], 3), KeyChange.written("b", new byte[0], 4)));
        view.applyChanges(5, 9, List.of(KeyChange.written("c", new byte[0], 9)));

        List<KeyChange> changed = view.applyListing(9, List.of(KeyChange.written("b", new byte[0], 4)));

        assertThat(changed).extracting(KeyChange::key).contains("a");
        assertThat(view.find("a")).isEmpty();
        assertThat(view.find("b")).isPresent();
    }

    @Test
    void anOlderListingChangesNothing() {
        KeyView view = new KeyView();
        view.applyListing(9, List.of(KeyChange.written("a", new byte[0], 8)));

        assertThat(view.applyListing(7, List.of())).isEmpty();
        assertThat(view.find("a")).isPresent();
    }

    private static void applyRandomUpdate(KeyView view, List<KeyChange> history, Random random) {
        long from = 1 + random.nextInt(28);
        long to = from + random.nextInt((int) (30 - from));
        if (random.nextInt(4) == 0) {
            view.applyListing(to, listing(history, to));
        } else {
            view.applyChanges(from, to, after(history, from, to));
        }
    }

    private static List<KeyChange> after(List<KeyChange> history, long from, long to) {
        return history.stream()
                .filter(change -> change.revision() > from && change.revision() <= to)
                .toList();
    }

    private static List<KeyChange> listing(List<KeyChange> history, long revision) {
        Map<String, KeyChange> present = new TreeMap<>();
        for (KeyChange change : after(history, 0, revision)) {
            if (change.value().isPresent()) {
                present.put(change.key(), change);
            } else {
                present.remove(change.key());
            }
        }
        return List.copyOf(present.values());
    }
}
