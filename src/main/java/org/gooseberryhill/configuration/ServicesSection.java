package org.gooseberryhill.configuration;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** Reads the section {@code services}. Stateless. */
final class ServicesSection implements ConfigurationSection<ServiceSettings> {
    static final String KEY = "services";

    /** The users' target for the time to the first token. */
    private static final int DEFAULT_FIRST_TOKEN_MILLIS = 1000;

    /** The users' target for the time between tokens. */
    private static final int DEFAULT_BETWEEN_TOKENS_MILLIS = 71;

    private static final int MAX_MILLIS = 600_000;
    private static final int PERCENT = 100;
    private static final String KIND_MODEL = "model";
    private static final String KIND_PLAIN = "plain";
    private static final Pattern CALL = Pattern.compile("[A-Z]{3,10} /\\S*");

    private final Findings findings;

    ServicesSection(Findings findings) {
        this.findings = findings;
    }

    @Override
    public String key() {
        return KEY;
    }

    @Override
    public ServiceSettings readEntry(String name, PropertyReader entry) {
        entry.allowOnly(
                "kind",
                "model",
                "non-idempotent",
                "first-token-target-millis",
                "between-tokens-target-millis",
                "batch-weight-percent");
        String kind = entry.choice("kind", KIND_MODEL, KIND_MODEL, KIND_PLAIN);
        Optional<String> model = entry.optionalText("model");
        if (kind.equals(KIND_MODEL) && model.isEmpty()) {
            findings.add(entry.positionOf("kind"), entry.pathOf("model"), "service.model-missing");
        }
        return new ServiceSettings(
                name,
                kind.equals(KIND_MODEL) ? model : Optional.empty(),
                nonIdempotentCalls(entry),
                entry.number("first-token-target-millis", DEFAULT_FIRST_TOKEN_MILLIS, 1, MAX_MILLIS),
                entry.number("between-tokens-target-millis", DEFAULT_BETWEEN_TOKENS_MILLIS, 1, MAX_MILLIS),
                entry.number("batch-weight-percent", PERCENT, 0, PERCENT));
    }

    private List<String> nonIdempotentCalls(PropertyReader entry) {
        List<YamlNode.Scalar> calls = entry.textList("non-idempotent");
        for (YamlNode.Scalar call : calls) {
            if (!CALL.matcher(call.text()).matches()) {
                findings.add(call.position(), entry.pathOf("non-idempotent"), "value.call", call.text());
            }
        }
        return calls.stream()
                .map(YamlNode.Scalar::text)
                .filter(text -> CALL.matcher(text).matches())
                .toList();
    }
}
