package org.gooseberryhill.configuration;

import java.util.Locale;
import java.util.regex.Pattern;

/** Reads the section {@code callers}. Stateless. */
final class CallersSection implements ConfigurationSection<CallerSettings> {
    static final String KEY = "callers";

    private static final int DEFAULT_MAX_IN_FLIGHT = 256;
    private static final int MAX_IN_FLIGHT = 100_000;
    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

    private final Findings findings;

    CallersSection(Findings findings) {
        this.findings = findings;
    }

    @Override
    public String key() {
        return KEY;
    }

    @Override
    public CallerSettings readEntry(String name, PropertyReader entry) {
        entry.allowOnly("key-sha256", "services", "max-in-flight", "may-submit-jobs");
        String hash = entry.requiredText("key-sha256").toLowerCase(Locale.ROOT);
        if (!hash.isEmpty() && !HASH.matcher(hash).matches()) {
            findings.add(entry.positionOf("key-sha256"), entry.pathOf("key-sha256"), "value.hash", hash);
        }
        return new CallerSettings(
                name,
                hash,
                entry.textList("services").stream().map(YamlNode.Scalar::text).toList(),
                entry.number("max-in-flight", DEFAULT_MAX_IN_FLIGHT, 1, MAX_IN_FLIGHT),
                entry.flag("may-submit-jobs", false));
    }
}
