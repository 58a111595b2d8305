package org.jujubefork.entry.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.jujubefork.config.cell.ConfigurationDocument;
import org.jujubefork.config.cell.ConfigurationDocumentCodec;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.entry.platform.ConfigurationSource;

/** Splits configuration documents into messages for other entries and reassembles theirs. */
final class ConfigurationExchange {
    /**
     * Maximum length of a part in characters. A character takes at most 3 bytes in UTF-8, so a part
     * always fits into a frame.
     */
    private static final int MAX_PART_CHARS = 32 * 1024;

    private final ConfigurationSource source;
    private final Supplier<Optional<ConfigurationDocument>> newestDocument;
    private final ConcurrentHashMap<EntryId, StringBuilder> incompleteTexts =
            new ConcurrentHashMap<>();

    /**
     * Creates an exchange.
     *
     * @param source receives the complete documents of other entries
     * @param newestDocument returns the newest configuration document of this entry
     */
    ConfigurationExchange(
            ConfigurationSource source, Supplier<Optional<ConfigurationDocument>> newestDocument) {
        this.source = source;
        this.newestDocument = newestDocument;
    }

    /** Returns the newest document split into frames, in order; empty if there is no document. */
    List<Frame> newestDocumentFrames() {
        String text = newestDocument.get().map(ConfigurationDocumentCodec::encode).orElse("");
        List<Frame> frames = new ArrayList<>();
        for (int from = 0; from < text.length(); from += MAX_PART_CHARS) {
            int to = Math.min(text.length(), from + MAX_PART_CHARS);
            frames.add(
                    Frame.of(
                            new PeerMessage.ConfigurationPart(
                                    text.substring(from, to), to == text.length())));
        }
        return frames;
    }

    /**
     * Adds a part of the document that {@code from} sends. After the last part, passes the document
     * to the configuration source on a new virtual thread, as this method must not block.
     */
    void receivePart(EntryId from, PeerMessage.ConfigurationPart message) {
        // Parts from one sender arrive in order; parts from different senders can interleave.
        StringBuilder text = incompleteTexts.computeIfAbsent(from, sender -> new StringBuilder());
        text.append(message.text());
        if (message.last()) {
            incompleteTexts.remove(from);
            Thread.startVirtualThread(() -> source.offer(text.toString(), Optional.of(from)));
        }
    }
}
