package org.jujubefork.config.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.jujubefork.config.source.Finding;
import org.jujubefork.config.source.SourcePosition;

/** Reads settings files and reports read errors as findings. */
public final class SettingsFile {
    private SettingsFile() {}

    /**
     * Returns the contents of the file {@code path}.
     *
     * @throws InvalidSettingsException with one finding if the file cannot be read
     */
    public static String read(Path path) throws InvalidSettingsException {
        try {
            return Files.readString(path);
        } catch (IOException e) {
            SourcePosition start = new SourcePosition(path.toString(), 1, 1, 0);
            InvalidSettingsException failure =
                    new InvalidSettingsException(
                            List.of(Finding.error(start, "$", "cannot be read: " + e)));
            failure.initCause(e);
            throw failure;
        }
    }
}
