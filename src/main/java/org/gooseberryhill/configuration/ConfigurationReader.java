package org.gooseberryhill.configuration;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Parses and validates a configuration text. Stateless and thread-safe.
 *
 * <p>All errors in a text are reported together. Example: {@code ConfigurationReader.read("fleet.yaml", text)}.
 */
public final class ConfigurationReader {
    /** The maximum size of a text in bytes; the key-value store limits values to one megabyte. */
    public static final int MAX_BYTES = 900_000;

    private static final TextPosition START = new TextPosition(1, 1);
    private static final List<ConfigurationRule> RULES =
            List.of(new ReferencesRule(), new ServiceHasEndpointRule(), new UniqueAddressRule(), new UniqueKeyRule());

    private ConfigurationReader() {}

    /** Returns the finding that a configuration defines no service, as that of an empty file; empty if it defines one. */
    public static Optional<Finding> findEmpty(String file, Configuration configuration) {
        if (!configuration.services().isEmpty()) {
            return Optional.empty();
        }
        Findings findings = new Findings(file);
        findings.add(START, ServicesSection.KEY, "services.none");
        return findings.sorted().stream().findFirst();
    }

    /** Returns the configuration, or all findings in the order of the text. */
    public static Either<List<Finding>, Configuration> read(String file, String text) {
        Findings findings = new Findings(file);
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        if (bytes > MAX_BYTES) {
            findings.add(START, "", "yaml.too-large", Integer.toString(bytes), Integer.toString(MAX_BYTES));
            return Either.left(findings.sorted());
        }
        Optional<YamlNode> tree = YamlNodeReader.read(text, findings);
        if (tree.isEmpty()) {
            return Either.left(findings.sorted());
        }
        Configuration configuration = readSections(tree.get(), findings);
        if (tree.get() instanceof YamlNode.Mapping root) {
            RULES.forEach(rule -> rule.check(configuration, root, findings));
        }
        return findings.isEmpty() ? Either.right(configuration) : Either.left(findings.sorted());
    }

    private static Configuration readSections(YamlNode tree, Findings findings) {
        PropertyReader root = new PropertyReader(tree, "", findings)
                .allowOnly(ModelsSection.KEY, ServicesSection.KEY, EndpointsSection.KEY, CallersSection.KEY);
        return new Configuration(
                unmodifiable(new ModelsSection().read(root, findings)),
                unmodifiable(new ServicesSection(findings).read(root, findings)),
                unmodifiable(new EndpointsSection().read(root, findings)),
                unmodifiable(new CallersSection(findings).read(root, findings)));
    }

    private static <T> Map<String, T> unmodifiable(Map<String, T> map) {
        return Collections.unmodifiableMap(map);
    }
}
