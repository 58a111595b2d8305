package org.jujubefork.client.api;

import java.util.List;

/**
 * The answer to {@code GET /v1/admin/status}.
 *
 * @param entry the answering entry's name and incarnation
 * @param role starting, serving or leaving
 * @param configurationVersion the version in force on it
 * @param configurationFresh whether it accepts keyed work
 * @param store how it gets on with the store
 * @param members all entries that it knows, itself included
 * @param shards all shards that it knows
 * @param queues how full the queues are
 * @param teams how much the teams use
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
