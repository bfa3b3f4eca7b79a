package org.gooseberryhill.load.slope;

import org.gooseberryhill.contract.Fingerprint;

/** Generates configuration texts with a fixed number of models and any number of endpoints and callers. Stateless. */
final class SampleConfigurations {
    private static final int MODELS = 5;

    private SampleConfigurations() {}

    /** Returns a text with the given numbers of endpoints (at least one for each model) and callers. */
    static String create(int endpoints, int callers) {
        StringBuilder text = new StringBuilder("models:\n");
        for (int i = 0; i < MODELS; i++) {
            text.append("  model-%d: {version: \"1\"}%n".formatted(i));
        }
        text.append("services:\n");
        for (int i = 0; i < MODELS; i++) {
            text.append("  service-%d: {model: model-%d}%n".formatted(i, i));
        }
        text.append("endpoints:\n");
        for (int i = 0; i < Math.max(MODELS, endpoints); i++) {
            text.append(
                    "  runner-%04d: {service: service-%d, address: \"10.%d.%d.%d:8000\", zone: zone-%d, slots: 16}%n"
                            .formatted(i, i % MODELS, i / 250 % 250, i % 250, i % 200, i % 4));
        }
        text.append("callers:\n");
        for (int i = 0; i < callers; i++) {
            String hash = Fingerprint.sha256Hex(new byte[] {(byte) i, (byte) (i >> 8)});
            text.append("  caller-%04d: {key-sha256: %s, services: [service-%d]}%n".formatted(i, hash, i % MODELS));
        }
        return text.toString();
    }
}
