package org.gooseberryhill.program;

import java.util.List;

/** Thrown if a program's settings are invalid; its message lists all findings. */
final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SettingsException(List<String> findings) {
        super(String.join("\n", findings), null, false, false);
    }
}
