package org.jujubefork.core.membership;

import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.control.State;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.placement.ShardSummaries;
import org.pcollections.PSortedMap;

/** Builds this entry's row and decides when a changed row is published. */
final class OwnMemberRow {
    /** Interval at which team loads, the largest part of a row, are updated. */
    static final long TEAM_LOAD_INTERVAL_MILLIS = 4_000;

    /**
     * Number of rounds after which an unchanged row is sent again, because a message can be lost.
     */
    static final long REFRESH_INTERVAL_ROUNDS = 20;

    /**
     * Number of entries that may publish changed loads in the same round. If the cell has more
     * entries, each entry publishes its loads less often.
     */
    private static final int PUBLISHERS_PER_ROUND = 8;

    private OwnMemberRow() {}

    /**
     * Returns {@code gossip} with the row to be sent in this round: a new revision of the row if
     * that is due, and otherwise the last revision with the current heartbeat.
     */
    static GossipState publish(State state, GossipState gossip) {
        long round = gossip.heartbeat();
        MemberRow currentRow = build(state, round);
        if (gossip.ownRow().isEmpty()) {
            return gossip.withOwnRow(currentRow, state.nowMillis());
        }
        MemberRow lastRow = gossip.ownRow().get();
        boolean isUrgent = !withoutLoads(currentRow).equals(withoutLoads(lastRow));
        boolean areLoadsDue =
                isUrgent
                        || hasDemandChanged(currentRow, lastRow)
                        || state.nowMillis() - gossip.loadsUpdatedAtMillis()
                                >= TEAM_LOAD_INTERVAL_MILLIS;
        MemberRow candidate = areLoadsDue ? currentRow : withTeamLoadsOf(currentRow, lastRow);
        boolean hasChanged =
                !candidate
                        .withHeartbeatAndRevision(0, 0)
                        .equals(lastRow.withHeartbeatAndRevision(0, 0));
        long roundsSincePublished = round - lastRow.revision();
        long minRounds = 1 + state.membership().members().size() / PUBLISHERS_PER_ROUND;
        boolean isDue =
                isUrgent
                        || roundsSincePublished >= REFRESH_INTERVAL_ROUNDS
                        || (hasChanged && roundsSincePublished >= minRounds);
        return isDue
                ? gossip.withOwnRow(
                        candidate, areLoadsDue ? state.nowMillis() : gossip.loadsUpdatedAtMillis())
                : gossip.withOwnRow(lastRow.withHeartbeat(round), gossip.loadsUpdatedAtMillis());
    }

    /**
     * Returns this entry's row for the current state, with {@code heartbeat} also as its revision.
     */
    static MemberRow build(State state, long heartbeat) {
        return new MemberRow(
                state.self().id(),
                state.self().location(),
                state.self().httpAddress(),
                state.self().peerAddress(),
                heartbeat,
                heartbeat,
                state.configuration().map(Configuration::version).orElse(0L),
                ConfigurationFreshness.isStoreContactFresh(state),
                state.draining(),
                ShardSummaries.of(state));
    }

    /**
     * Returns {@code row} without loads, heartbeat and revision. Changes of the remaining
     * components, such as ownership and drain state, are published without delay.
     */
    private static MemberRow withoutLoads(MemberRow row) {
        PSortedMap<ShardId, ShardSummary> shards = row.shards();
        for (var shardAndSummary : shards.entrySet()) {
            shards =
                    shards.plus(shardAndSummary.getKey(), shardAndSummary.getValue().withoutLoad());
        }
        return row.withHeartbeatAndRevision(0, 0).withShards(shards);
    }

    private static boolean hasDemandChanged(MemberRow currentRow, MemberRow lastRow) {
        for (var shardAndSummary : currentRow.shards().entrySet()) {
            ShardSummary previous = lastRow.shards().get(shardAndSummary.getKey());
            for (var teamAndLoad : shardAndSummary.getValue().teams().entrySet()) {
                TeamLoad load =
                        previous == null ? null : previous.teams().get(teamAndLoad.getKey());
                boolean wasWaiting = load != null && !load.waiting().isZero();
                if (wasWaiting == teamAndLoad.getValue().waiting().isZero()) {
                    return true;
                }
            }
        }
        return false;
    }

    private static MemberRow withTeamLoadsOf(MemberRow currentRow, MemberRow lastRow) {
        PSortedMap<ShardId, ShardSummary> shards = currentRow.shards();
        for (var shardAndSummary : shards.entrySet()) {
            ShardSummary previous = lastRow.shards().get(shardAndSummary.getKey());
            shards =
                    shards.plus(
                            shardAndSummary.getKey(),
                            shardAndSummary.getValue().withTeams(previous.teams()));
        }
        return currentRow.withShards(shards);
    }
}
