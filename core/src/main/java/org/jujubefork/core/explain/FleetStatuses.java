package org.jujubefork.core.explain;

import java.util.Optional;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.ConfigurationFreshness;
import org.jujubefork.core.membership.Member;
import org.jujubefork.core.membership.Membership;
import org.jujubefork.core.membership.ShardSummary;
import org.jujubefork.core.membership.TeamLoad;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkerListing;
import org.pcollections.PSortedMap;
import org.pcollections.PVector;
import org.pcollections.TreePSet;
import org.pcollections.TreePVector;

/** Creates the status of the fleet from the control state. */
public final class FleetStatuses {
    private FleetStatuses() {}

    /** Returns the status of the fleet as known to this entry. */
    public static FleetStatus of(State state) {
        PVector<FleetStatus.MemberStatus> members = TreePVector.empty();
        for (Member member : state.membership().members().values()) {
            members = members.plus(member(state, member));
        }
        PVector<FleetStatus.ShardStatus> shards = TreePVector.empty();
        for (ShardId shard : state.fleet().byShard().keySet()) {
            shards = shards.plus(shard(state, shard));
        }
        PVector<TeamExplanation> teams = TreePVector.empty();
        if (state.configuration().isPresent()) {
            for (TeamId team : TreePSet.from(state.configuration().get().teams().keySet())) {
                teams = teams.plus(Explanations.team(state, team).orElseThrow());
            }
        }
        int endedJobCount = state.jobs().endedByTime().size();
        return new FleetStatus(
                state.self().id(),
                state.nowMillis(),
                state.draining(),
                state.configuration().map(Configuration::version).orElse(0L),
                ConfigurationFreshness.isFresh(state),
                ConfigurationFreshness.isStoreContactFresh(state),
                members,
                shards,
                teams,
                state.jobs().records().size() - endedJobCount,
                endedJobCount,
                state.jobs().pendingUpdates().size());
    }

    private static FleetStatus.MemberStatus member(State state, Member member) {
        return new FleetStatus.MemberStatus(
                member.row().id(),
                member.row().location().zone(),
                Membership.isAlive(state, member),
                member.row().leaving(),
                member.row().configurationVersion(),
                member.lastHeartbeatMillis());
    }

    private static FleetStatus.ShardStatus shard(State state, ShardId shard) {
        PSortedMap<?, WorkerListing> listedWorkers = state.fleet().byShard().get(shard);
        Optional<ShardOwners.OwnedShard> ownedShard = ShardOwners.find(state, shard);
        Optional<ShardSummary> summary = ownedShard.map(ShardOwners.OwnedShard::summary);
        Resources listedCapacity =
                listedWorkers.values().stream()
                        .map(WorkerListing::capacity)
                        .reduce(Resources.ZERO, Resources::plus);
        return new FleetStatus.ShardStatus(
                shard,
                ownedShard.map(ShardOwners.OwnedShard::owner),
                summary.map(ShardSummary::epoch),
                listedWorkers.size(),
                summary.map(ShardSummary::workers).orElse(0),
                summary.map(ShardSummary::capacity).orElse(listedCapacity),
                summary.map(ShardSummary::free).orElse(Resources.ZERO),
                summary.map(FleetStatuses::queued).orElse(0));
    }

    private static int queued(ShardSummary summary) {
        return summary.teams().values().stream().mapToInt(TeamLoad::queued).sum();
    }
}
