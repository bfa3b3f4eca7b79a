package org.gooseberryhill.program;

import java.util.List;

/** Carries everything that is wrong with a program's settings. */
final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SettingsException(List<String> findings) {
        super(String.join("\n", findings), null, false, false);
    }
}
