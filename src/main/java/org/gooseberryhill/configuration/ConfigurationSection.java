package org.gooseberryhill.configuration;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A contract for one top-level section of the text, a mapping of names. Implementations are stateless.
 *
 * @param <T> what an entry becomes
 */
interface ConfigurationSection<T> {
    /** The section's key in the text. */
    String key();

    /** Reads one entry; mistakes become findings and are replaced by defaults. */
    T readEntry(String name, PropertyReader entry);

    /** Reads all entries of the section. */
    default Map<String, T> read(PropertyReader root, Findings findings) {
        Map<String, T> entries = new LinkedHashMap<>();
        root.forEachNamed(key(), (name, node) -> {
            String path = key() + "." + name;
            entries.put(name, readEntry(name, new PropertyReader(node, path, findings)));
        });
        return entries;
    }
}
