package org.gooseberryhill.contract;

import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The identity of a job: the caller's name and the id that the caller chose. Immutable.
 *
 * @param caller the name of the caller in the configuration
 * @param id the id that the caller gave the job, {@value #ID_PATTERN}
 */
public record JobKey(String caller, String id) {
    /** The pattern of valid ids, which are safe in paths, file names and keys. */
    public static final String ID_PATTERN = "[A-Za-z0-9][A-Za-z0-9_-]{0,63}";

    private static final Pattern VALID_ID = Pattern.compile(ID_PATTERN);

    /** Returns the key as a path, {@code caller/id}. */
    public String path() {
        return caller + "/" + id;
    }

    /** Parses the result of {@link #path()}; empty if the text does not have that form. */
    public static Optional<JobKey> parse(String path) {
        int slash = path.indexOf('/');
        if (slash <= 0 || !isValidId(path.substring(slash + 1))) {
            return Optional.empty();
        }
        return Optional.of(new JobKey(path.substring(0, slash), path.substring(slash + 1)));
    }

    /** Returns whether the text is a valid job id. */
    public static boolean isValidId(String id) {
        return VALID_ID.matcher(id).matches();
    }
}
