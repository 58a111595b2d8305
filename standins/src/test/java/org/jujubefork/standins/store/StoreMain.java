package org.jujubefork.standins.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.standins.Flags;
import org.jujubefork.standins.StandinProcess;
import org.jujubefork.standins.history.HistorySink;
import org.jujubefork.standins.history.HistoryWriter;

/** Runs the store as a process until it is killed. */
public final class StoreMain {
    private StoreMain() {}

    public static void main(String[] args) throws IOException, InterruptedException {
        Flags flags =
                Flags.parse(
                        args,
                        Set.of(
                                "port",
                                "history",
                                "writes-per-second",
                                "reads-per-second",
                                "history-size"),
                        Set.of());
        StoreOptions options =
                new StoreOptions(
                        (int) flags.number("port", 0),
                        flags.number("writes-per-second", 0),
                        flags.number("reads-per-second", 0),
                        (int) flags.number("history-size", StoreOptions.DEFAULT_HISTORY));
        Optional<String> file = flags.text("history");
        HistorySink sink =
                file.isPresent() ? HistoryWriter.append(Path.of(file.get())) : HistorySink.NONE;
        try (KeyValueStore store = KeyValueStore.start(options, sink)) {
            StandinProcess.runUntilKilled("store", store.port());
        }
    }
}
