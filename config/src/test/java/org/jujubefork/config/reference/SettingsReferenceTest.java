package org.jujubefork.config.reference;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.testng.annotations.Test;

/** Guards against committed reference files that differ from the declarations. */
public final class SettingsReferenceTest {
    @Test
    public void committedFilesMatchTheDeclarations() throws IOException {
        for (Map.Entry<String, String> file : SettingsReference.files().entrySet()) {
            String committed = Files.readString(Path.of("..").resolve(file.getKey()));
            assertEquals(
                    committed,
                    file.getValue(),
                    file.getKey() + " is out of date; run SettingsReference in the project's root");
        }
    }
}
