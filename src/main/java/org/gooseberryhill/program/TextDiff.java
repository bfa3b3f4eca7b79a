package org.gooseberryhill.program;

import com.github.difflib.DiffUtils;
import com.github.difflib.UnifiedDiffUtils;
import java.util.List;

/** Compares two texts in the unified diff format. Stateless. */
final class TextDiff {
    private static final int CONTEXT_LINES = 2;

    private TextDiff() {}

    static String unified(String oldName, String oldText, String newName, String newText) {
        List<String> oldLines = oldText.lines().toList();
        List<String> newLines = newText.lines().toList();
        return String.join(
                "\n",
                UnifiedDiffUtils.generateUnifiedDiff(
                        oldName, newName, oldLines, DiffUtils.diff(oldLines, newLines), CONTEXT_LINES));
    }
}
