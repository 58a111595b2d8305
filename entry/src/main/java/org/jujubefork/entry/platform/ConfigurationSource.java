package org.jujubefork.entry.platform;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.jboss.logging.Logger;
import org.jujubefork.config.cell.CellReadResult;
import org.jujubefork.config.cell.CellReader;
import org.jujubefork.config.cell.ConfigurationDocument;
import org.jujubefork.config.cell.ConfigurationDocumentCodec;
import org.jujubefork.config.cell.InvalidDocumentException;
import org.jujubefork.config.source.Finding;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.event.ConfigurationLoaded;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.entry.control.Clock;
import org.jujubefork.entry.control.EventSink;

/**
 * Decodes configuration documents from the store and from other entries, and keeps the newest one
 * that this entry can use.
 */
public final class ConfigurationSource {
    private static final Logger log = Logger.getLogger(ConfigurationSource.class);

    private final CellReader reader;
    private final String site;
    private final Clock clock;
    private final EventSink events;
    private final AtomicReference<Optional<ConfigurationDocument>> newestDocument =
            new AtomicReference<>(Optional.empty());
    private final AtomicLong lastUnusableVersion = new AtomicLong();

    /**
     * Creates a source for an entry at {@code site} that posts configurations to {@code events}.
     */
    public ConfigurationSource(CellReader reader, String site, Clock clock, EventSink events) {
        this.reader = reader;
        this.site = site;
        this.clock = clock;
        this.events = events;
    }

    /** Returns the newest usable document, or empty if there is none. */
    public Optional<ConfigurationDocument> newestDocument() {
        return newestDocument.get();
    }

    /**
     * Decodes a document and posts its configuration to the control thread, which puts it into
     * force if it is newer. If the document cannot be decoded or used, the error is only logged.
     *
     * @param text the document as it is stored
     * @param peer the entry that sent the document; empty if it was read from the store
     */
    public void offer(String text, Optional<EntryId> peer) {
        try {
            ConfigurationDocument document = ConfigurationDocumentCodec.decode(text);
            CellReadResult readResult = reader.read(document);
            Optional<Configuration> configuration = readResult.configuration(site);
            if (configuration.isEmpty()) {
                logUnusable(document, readResult);
                return;
            }
            newestDocument.accumulateAndGet(Optional.of(document), ConfigurationSource::newer);
            events.post(new ConfigurationLoaded(clock.millis(), configuration.get(), peer));
        } catch (InvalidDocumentException e) {
            log.errorf("event=configuration-unreadable reason=\"%s\"", e.getMessage());
        }
    }

    /** Logs why a document cannot be used by this entry, once per version. */
    private void logUnusable(ConfigurationDocument document, CellReadResult readResult) {
        if (lastUnusableVersion.getAndSet(document.version()) == document.version()) {
            return;
        }
        if (readResult.isValid()) {
            log.errorf(
                    "event=configuration-unusable version=%d site=%s"
                            + " reason=\"the base file does not list this site\"",
                    document.version(), site);
        }
        for (Finding finding : readResult.findings()) {
            log.errorf(
                    "event=configuration-unusable version=%d site=%s reason=\"%s\"",
                    document.version(), site, finding);
        }
    }

    private static Optional<ConfigurationDocument> newer(
            Optional<ConfigurationDocument> knownDocument,
            Optional<ConfigurationDocument> offeredDocument) {
        boolean knownIsCurrent =
                knownDocument.isPresent()
                        && knownDocument.get().version() >= offeredDocument.get().version();
        return knownIsCurrent ? knownDocument : offeredDocument;
    }
}
