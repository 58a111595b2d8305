package org.jujubefork.client.api;

import java.util.List;

/**
 * Response to {@code GET /v1/admin/status}.
 *
 * @param entry name and incarnation of the responding entry
 * @param role {@code starting}, {@code serving} or {@code leaving}
 * @param configurationVersion configuration version in force on the entry
 * @param configurationFresh whether the configuration is fresh enough to accept work with an access
 *     key
 * @param store connection of the entry to the store
 * @param members all entries known to the responding entry, including itself
 * @param shards all shards known to the responding entry
 * @param queues backlog of each queue
 * @param teams usage and limits of each team
 */
public record StatusView(
        String entry,
        String role,
        long configurationVersion,
        boolean configurationFresh,
        StoreView store,
        List<MemberView> members,
        List<ShardView> shards,
        List<QueueView> queues,
        List<TeamView> teams) {
    /** Copies the lists. */
    public StatusView {
        members = MessageChecks.copyOrEmpty(members);
        shards = MessageChecks.copyOrEmpty(shards);
        queues = MessageChecks.copyOrEmpty(queues);
        teams = MessageChecks.copyOrEmpty(teams);
    }
}
