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
import org.jujubefork.config.cell.CellReadResult;
import org.jujubefork.config.cell.CellReader;
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
 * Validates an operator's change of the configuration, writes it by compare-and-swap, and waits for
 * a limited time until the change is in force on all expected entries. The change counts as
 * accepted once a majority of those entries have it in force.
 */
public final class ConfigurationApplier {
    private static final Logger log = Logger.getLogger(ConfigurationApplier.class);
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);
    private static final long MAX_ACCEPTANCE_WAIT_MILLIS = 5_000;
    private static final long POLL_INTERVAL_MILLIS = 50;

    private final StoreClient store;
    private final CellReader reader;
    private final ConfigurationSource source;
    private final Supplier<State> state;

    /**
     * Creates an applier.
     *
     * @param store holds the configuration document
     * @param reader validates documents
     * @param source puts a written document into force on this entry
     * @param state returns the newest control state
     */
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

    /** The result of a change of the configuration. */
    public sealed interface Result {
        /**
         * The document has errors; nothing was changed.
         *
         * @param findings all findings
         */
        record Invalid(List<Finding> findings) implements Result {}

        /**
         * The change is based on an old version; nothing was changed.
         *
         * @param currentVersion the version in the store, 0 if there is none
         * @param changes the differences between the submitted document and the stored one
         */
        record Outdated(long currentVersion, List<ConfigurationChange> changes) implements Result {}

        /**
         * The key that authorizes the first configuration is not an operator's key in that
         * configuration; nothing was changed.
         */
        record NotOperator() implements Result {}

        /**
         * The store failed or gave no answer.
         *
         * @param reason the failure, for the operator
         * @param outcome whether the change may have been written
         */
        record Failed(String reason, Outcome outcome) implements Result {}

        /**
         * The change was written to the store.
         *
         * @param version the version of the changed configuration
         * @param accepted whether the version is in force on a majority of the expected entries
         * @param inForceOn the entries on which the version is in force
         * @param pending the entries on which it is not yet in force
         */
        record Stored(long version, boolean accepted, List<String> inForceOn, List<String> pending)
                implements Result {}
    }

    /** Returns the newest usable document that this entry knows, or empty if it knows none. */
    public Optional<ConfigurationDocument> newestDocument() {
        return source.newestDocument();
    }

    /**
     * Validates and writes a new configuration, and waits for a limited time until it is in force
     * on all entries.
     *
     * @param ifVersion the version on which the change is based, 0 for the first configuration
     * @param base the text of the base file
     * @param overlays the texts of the overlays by site
     * @param firstOperatorKeyHash the hash of the key that must be an operator's key in the first
     *     configuration; empty for later ones
     */
    public Result apply(
            long ifVersion,
            String base,
            Map<String, String> overlays,
            Optional<String> firstOperatorKeyHash)
            throws InterruptedException {
        ConfigurationDocument document = ConfigurationDocument.of(ifVersion + 1, base, overlays);
        CellReadResult readResult = reader.read(document);
        if (!readResult.isValid()) {
            return new Result.Invalid(readResult.findings());
        }
        if (firstOperatorKeyHash.isPresent()
                && !isOperatorKey(readResult, firstOperatorKeyHash.get())) {
            return new Result.NotOperator();
        }
        try {
            Optional<KeyValue> storedItem = store.get(StoreKeys.CONFIGURATION, STORE_TIMEOUT);
            Optional<ConfigurationDocument> currentDocument = decode(storedItem);
            long currentVersion = currentDocument.map(ConfigurationDocument::version).orElse(0L);
            if (currentVersion != ifVersion) {
                return new Result.Outdated(currentVersion, diff(document, currentDocument));
            }
            long revision = storedItem.map(KeyValue::revision).orElse(StoreClient.ABSENT);
            return write(document, revision);
        } catch (StoreException | InvalidDocumentException e) {
            return new Result.Failed(
                    "the store gave no usable answer: " + e.getMessage(), Outcome.NOT_RUN);
        }
    }

    private static boolean isOperatorKey(CellReadResult readResult, String keyHash) {
        return readResult.configurations().values().stream()
                .allMatch(c -> c.key(keyHash).map(k -> k.isOperator()).orElse(false));
    }

    private static Optional<ConfigurationDocument> decode(Optional<KeyValue> storedItem)
            throws InvalidDocumentException {
        return storedItem.isPresent()
                ? Optional.of(
                        ConfigurationDocumentCodec.decode(
                                StoreText.decode(storedItem.get().value())))
                : Optional.empty();
    }

    private static List<ConfigurationChange> diff(
            ConfigurationDocument submittedDocument,
            Optional<ConfigurationDocument> currentDocument) {
        return currentDocument
                .map(c -> ConfigurationDiff.of(submittedDocument, c))
                .orElse(List.of());
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
            case WriteResult.Written written -> awaitAcceptance(document, text);
            case WriteResult.Unknown unknown -> readBack(document, text);
            case WriteResult.Conflict conflict -> {
                Optional<ConfigurationDocument> currentDocument =
                        decode(store.get(StoreKeys.CONFIGURATION, STORE_TIMEOUT));
                yield new Result.Outdated(
                        currentDocument.map(ConfigurationDocument::version).orElse(0L),
                        diff(document, currentDocument));
            }
            case WriteResult.NotApplied n -> new Result.Failed(n.reason(), Outcome.NOT_RUN);
            case WriteResult.Throttled t ->
                    new Result.Failed("the store's write rate is exceeded", Outcome.NOT_RUN);
        };
    }

    /** Reads the document to find out whether a write whose answer was lost has succeeded. */
    private Result readBack(ConfigurationDocument document, String text)
            throws InvalidDocumentException, InterruptedException {
        try {
            Optional<KeyValue> storedItem = store.get(StoreKeys.CONFIGURATION, STORE_TIMEOUT);
            if (storedItem.isPresent() && StoreText.decode(storedItem.get().value()).equals(text)) {
                return awaitAcceptance(document, text);
            }
            Optional<ConfigurationDocument> currentDocument = decode(storedItem);
            return new Result.Outdated(
                    currentDocument.map(ConfigurationDocument::version).orElse(0L),
                    diff(document, currentDocument));
        } catch (StoreException e) {
            log.warnf("event=configuration-write-unknown version=%d", document.version());
            return new Result.Failed(
                    "the store did not say whether it took the change", Outcome.UNKNOWN);
        }
    }

    private Result awaitAcceptance(ConfigurationDocument document, String text)
            throws InterruptedException {
        source.offer(text, Optional.empty());
        long version = document.version();
        long deadlineNanos =
                System.nanoTime() + Duration.ofMillis(MAX_ACCEPTANCE_WAIT_MILLIS).toNanos();
        while (true) {
            State currentState = state.get();
            Result.Stored result = resultOf(currentState, version);
            boolean inForceEverywhere = result.pending().isEmpty() && result.accepted();
            if (inForceEverywhere || System.nanoTime() >= deadlineNanos) {
                return result;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private static Result.Stored resultOf(State currentState, long version) {
        ConfigurationAcceptance.Status status =
                ConfigurationAcceptance.status(currentState, version);
        return new Result.Stored(
                version,
                status.isAccepted(),
                List.copyOf(status.inForceOn()),
                List.copyOf(status.pending()));
    }
}
