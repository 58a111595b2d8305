package org.jujubefork.entry.platform;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.jujubefork.client.store.KeyValue;
import org.jujubefork.client.store.StoreClient;
import org.jujubefork.client.store.StoreException;
import org.jujubefork.client.store.WriteResult;
import org.jujubefork.config.cell.CellReader;
import org.jujubefork.config.cell.CellReading;
import org.jujubefork.config.cell.ConfigurationChange;
import org.jujubefork.config.cell.ConfigurationDiff;
import org.jujubefork.config.cell.ConfigurationDocument;
import org.jujubefork.config.cell.ConfigurationDocumentCodec;
import org.jujubefork.config.cell.InvalidDocumentException;
import org.jujubefork.config.source.Finding;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.ConfigurationAcceptance;
import org.jujubefork.core.model.Outcome;

/**
 * Checks an operator's change of the configuration, writes it by compare-and-swap and waits until a
 * majority of the expected entries has it in force.
 */
public final class ConfigurationApplier {
    private static final Logger log = Logger.getLogger(ConfigurationApplier.class);
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);
    private static final long CONFIRM_MILLIS = 5_000;
    private static final long POLL_MILLIS = 50;

    private final StoreClient store;
    private final CellReader reader;
    private final ConfigurationSource source;
    private final Supplier<State> state;

    /** Creates an applier that has accepted documents put into force through {@code source}. */
    public ConfigurationApplier(
            StoreClient store,
            CellReader reader,
            ConfigurationSource source,
            Supplier<State> state) {
        this.store = store;
        this.reader = reader;
        this.source = source;
        this.state = state;
    }

    /** What became of a change. */
    public sealed interface Result {
        /**
         * The texts have errors; nothing was changed.
         *
         * @param findings all findings
         */
        record Invalid(List<Finding> findings) implements Result {}

        /**
         * Another change came first; nothing was changed.
         *
         * @param current the version that stands in the store
         * @param changes what it differs in from the texts that were sent
         */
        record Outdated(long current, List<ConfigurationChange> changes) implements Result {}

        /** The first configuration does not name the key that came with it as an operator's. */
        record NotOperator() implements Result {}

        /**
         * The store could not be used.
         *
         * @param reason why
         * @param outcome whether the change may have been written
         */
        record Failed(String reason, Outcome outcome) implements Result {}

        /**
         * The change stands in the store.
         *
         * @param version its version
         * @param accepted whether a majority of the expected entries has it in force
         * @param inForceOn entries that have it in force
         * @param pending entries that do not yet
         */
        record Stored(long version, boolean accepted, List<String> inForceOn, List<String> pending)
                implements Result {}
    }

    /** Returns the newest document that this entry knows. */
    public Optional<ConfigurationDocument> newest() {
        return source.newest();
    }

    /**
     * Applies a change.
     *
     * @param ifVersion the version that the texts are based on, 0 for the first configuration
     * @param base the text of the base file
     * @param overlays the texts of the overlays by site
     * @param firstOperator for the first configuration, the hash of the key that must be an
     *     operator's in it
     */
    public Result apply(
            long ifVersion,
            String base,
            Map<String, String> overlays,
            Optional<String> firstOperator)
            throws InterruptedException {
        ConfigurationDocument document = ConfigurationDocument.of(ifVersion + 1, base, overlays);
        CellReading reading = reader.read(document);
        if (!reading.isUsable()) {
            return new Result.Invalid(reading.findings());
        }
        if (firstOperator.isPresent() && !isOperator(reading, firstOperator.get())) {
            return new Result.NotOperator();
        }
        try {
            Optional<KeyValue> stored = store.get(StoreKeys.CONFIGURATION, STORE_TIMEOUT);
            Optional<ConfigurationDocument> current = decode(stored);
            long version = current.map(ConfigurationDocument::version).orElse(0L);
            if (version != ifVersion) {
                return new Result.Outdated(version, changes(document, current));
            }
            long revision = stored.map(KeyValue::revision).orElse(StoreClient.ABSENT);
            return write(document, revision);
        } catch (StoreException | InvalidDocumentException e) {
            return new Result.Failed(
                    "the store gave no usable answer: " + e.getMessage(), Outcome.NOT_RUN);
        }
    }

    private static boolean isOperator(CellReading reading, String hash) {
        return reading.configurations().values().stream()
                .allMatch(c -> c.key(hash).map(k -> k.isOperator()).orElse(false));
    }

    private static Optional<ConfigurationDocument> decode(Optional<KeyValue> stored)
            throws InvalidDocumentException {
        return stored.isPresent()
                ? Optional.of(
                        ConfigurationDocumentCodec.decode(StoreText.decode(stored.get().value())))
                : Optional.empty();
    }

    private static List<ConfigurationChange> changes(
            ConfigurationDocument sent, Optional<ConfigurationDocument> current) {
        return current.map(c -> ConfigurationDiff.of(sent, c)).orElse(List.of());
    }

    private Result write(ConfigurationDocument document, long revision)
            throws StoreException, InvalidDocumentException, InterruptedException {
        String text = ConfigurationDocumentCodec.encode(document);
        WriteResult result =
                store.put(
                        StoreKeys.CONFIGURATION,
                        StoreText.encode(text),
                        OptionalLong.of(revision),
                        Optional.empty(),
                        STORE_TIMEOUT);
        return switch (result) {
            case WriteResult.Written written -> confirm(document, text);
            case WriteResult.Unknown unknown -> readBack(document, text);
            case WriteResult.Conflict conflict -> {
                Optional<ConfigurationDocument> current =
                        decode(store.get(StoreKeys.CONFIGURATION, STORE_TIMEOUT));
                yield new Result.Outdated(
                        current.map(ConfigurationDocument::version).orElse(0L),
                        changes(document, current));
            }
            case WriteResult.NotApplied n -> new Result.Failed(n.reason(), Outcome.NOT_RUN);
            case WriteResult.Throttled t ->
                    new Result.Failed("the store's write rate is exceeded", Outcome.NOT_RUN);
        };
    }

    /** Finds out whether a write whose answer was lost took effect. */
    private Result readBack(ConfigurationDocument document, String text)
            throws InvalidDocumentException, InterruptedException {
        try {
            Optional<KeyValue> stored = store.get(StoreKeys.CONFIGURATION, STORE_TIMEOUT);
            if (stored.isPresent() && StoreText.decode(stored.get().value()).equals(text)) {
                return confirm(document, text);
            }
            Optional<ConfigurationDocument> current = decode(stored);
            return new Result.Outdated(
                    current.map(ConfigurationDocument::version).orElse(0L),
                    changes(document, current));
        } catch (StoreException e) {
            log.warnf("event=configuration-write-unknown version=%d", document.version());
            return new Result.Failed(
                    "the store did not say whether it took the change", Outcome.UNKNOWN);
        }
    }

    private Result confirm(ConfigurationDocument document, String text)
            throws InterruptedException {
        source.offer(text, Optional.empty());
        long version = document.version();
        long deadline = System.nanoTime() + Duration.ofMillis(CONFIRM_MILLIS).toNanos();
        while (true) {
            State now = state.get();
            Result.Stored stored = status(now, version);
            boolean all = stored.pending().isEmpty() && stored.accepted();
            if (all || System.nanoTime() >= deadline) {
                return stored;
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    private static Result.Stored status(State now, long version) {
        ConfigurationAcceptance.Status status = ConfigurationAcceptance.status(now, version);
        return new Result.Stored(
                version,
                status.isAccepted(),
                List.copyOf(status.inForceOn()),
                List.copyOf(status.pending()));
    }
}
