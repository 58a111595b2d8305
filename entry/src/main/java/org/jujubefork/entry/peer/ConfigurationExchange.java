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

/** Gives the configuration of this entry to others, and takes theirs. */
final class ConfigurationExchange {
    /** A character takes at most 3 bytes in UTF-8, so that a part fits into a frame. */
    private static final int MAX_PART_CHARS = 32 * 1024;

    private final ConfigurationSource source;
    private final Supplier<Optional<ConfigurationDocument>> newestDocument;
    private final ConcurrentHashMap<EntryId, StringBuilder> incompleteTexts =
            new ConcurrentHashMap<>();

    /**
     * Creates an exchange.
     *
     * @param source takes configuration documents of other entries
     * @param newestDocument gives the newest configuration document of this entry
     */
    ConfigurationExchange(
            ConfigurationSource source, Supplier<Optional<ConfigurationDocument>> newestDocument) {
        this.source = source;
        this.newestDocument = newestDocument;
    }

    /** Returns the newest document in parts; empty if there is none. */
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

    /** Takes a part of the document of {@code from}; the last one completes it. */
    void receivePart(EntryId from, PeerMessage.ConfigurationPart message) {
        // Parts of one sender arrive in order on its connection; parts of several senders may mix.
        StringBuilder text = incompleteTexts.computeIfAbsent(from, sender -> new StringBuilder());
        text.append(message.text());
        if (message.last()) {
            incompleteTexts.remove(from);
            Thread.startVirtualThread(() -> source.offer(text.toString(), Optional.of(from)));
        }
    }
}
