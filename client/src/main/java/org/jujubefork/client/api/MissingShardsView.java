package org.jujubefork.client.api;

import java.util.List;

/**
 * Shards whose rows are missing from a response.
 *
 * @param entry their owner, empty if no live one is known
 * @param shards the shards
 * @param reason why their rows are missing
 */
public record MissingShardsView(String entry, List<String> shards, String reason) {
    /** Copies the list. */
    public MissingShardsView {
        shards = MessageChecks.copyOrEmpty(shards);
    }
}
