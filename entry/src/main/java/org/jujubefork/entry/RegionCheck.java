package org.jujubefork.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.jujubefork.client.http.Transport;
import org.jujubefork.client.store.KeyValue;
import org.jujubefork.client.store.StoreClient;
import org.jujubefork.client.store.StoreException;
import org.jujubefork.config.cell.CellReadResult;
import org.jujubefork.config.cell.ConfigurationDocumentCodec;
import org.jujubefork.config.cell.InvalidDocumentException;
import org.jujubefork.config.settings.DaemonSettings;
import org.jujubefork.entry.platform.StoreKeys;

/** Checks that the configuration in the store has a site for the region of an entry. */
final class RegionCheck {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    /**
     * The result of a check.
     *
     * @param passed false if the configuration has no site for the region; true if it has, or if
     *     the configuration could not be read
     * @param text the finding for the operator
     */
    record Result(boolean passed, String text) {}

    private RegionCheck() {}

    /** Reads the configuration from the store and checks the region of {@code settings}. */
    static Result of(DaemonSettings settings) {
        try (Transport transport = Transport.create(TIMEOUT)) {
            StoreClient store =
                    new StoreClient(transport, DaemonContext.toAddress(settings.storeAddress()));
            Optional<KeyValue> storedDocument = store.get(StoreKeys.CONFIGURATION, TIMEOUT);
            return storedDocument.isEmpty()
                    ? skipped("the store holds no configuration yet")
                    : of(
                            settings.region(),
                            new String(storedDocument.get().value(), StandardCharsets.UTF_8));
        } catch (StoreException e) {
            return skipped(
                    "the store at "
                            + settings.storeAddress()
                            + " could not be read: "
                            + e.getMessage());
        }
    }

    /** Checks {@code region} against {@code configuration}, a document as stored in the store. */
    static Result of(String region, String configuration) {
        try {
            CellReadResult reading =
                    DaemonContext.cellReader()
                            .read(ConfigurationDocumentCodec.decode(configuration));
            if (!reading.isValid()) {
                return skipped("the configuration in the store has errors");
            }
            if (reading.configuration(region).isPresent()) {
                return new Result(true, "region \"" + region + "\" is a site of the cell");
            }
            return new Result(
                    false,
                    "error: region \""
                            + region
                            + "\" is not a site of the cell; use one of "
                            + reading.configurations().keySet()
                            + ", or add it to \"sites\" in the base file");
        } catch (InvalidDocumentException e) {
            return skipped(e.getMessage());
        }
    }

    private static Result skipped(String reason) {
        return new Result(true, "warning: the region was not checked: " + reason);
    }
}
