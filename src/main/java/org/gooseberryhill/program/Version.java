package org.gooseberryhill.program;

import java.util.Optional;
import picocli.CommandLine.IVersionProvider;

/** Provides the version of all programs from the manifest of the jar. Stateless. */
final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
        String version = Optional.ofNullable(Version.class.getPackage().getImplementationVersion())
                .orElse("0 (not packaged)");
        return new String[] {"gooseberryhill " + version};
    }
}
