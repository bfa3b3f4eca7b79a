package org.gooseberryhill.configuration;

/** Reads the section {@code models}. Stateless. */
final class ModelsSection implements ConfigurationSection<ModelSettings> {
    static final String KEY = "models";

    @Override
    public String key() {
        return KEY;
    }

    @Override
    public ModelSettings readEntry(String name, PropertyReader entry) {
        entry.allowOnly("version", "adapters");
        return new ModelSettings(
                name,
                entry.requiredText("version"),
                entry.textList("adapters").stream().map(YamlNode.Scalar::text).toList());
    }
}
