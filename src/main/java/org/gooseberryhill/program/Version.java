package org.gooseberryhill.program;

import java.util.Optional;
import picocli.CommandLine.IVersionProvider;

/** The version of all programs, from the jar's manifest. Stateless. */
final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
        String version = Optional.ofNullable(Version.class.getPackage().getImplementationVersion())
                .orElse("0 (not packaged)");
        return new String[] {"gooseberryhill " + version};
    }
}
