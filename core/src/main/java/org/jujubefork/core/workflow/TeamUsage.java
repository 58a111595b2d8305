package org.jujubefork.core.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.model.Resources;

/**
 * What the teams have running, for their limits. Mutable; used on the control thread for one
 * placement pass only.
 */
final class TeamUsage {
    private final Optional<CellConfiguration> configuration;
    private final Map<String, Resources> usageByTeam = new HashMap<>();

    /** Upper bound of the usage of each team by runs that this leader does not know. */
    private Resources maxUnknown = Resources.ZERO;

    private TeamUsage(Optional<CellConfiguration> configuration) {
        this.configuration = configuration;
    }

    static TeamUsage of(WorkflowState state) {
        TeamUsage result = new TeamUsage(state.configuration());
        for (WorkerNode node : state.workers().values()) {
            for (WorkerNode.Charge charge : node.charges().values()) {
                charge.team().ifPresent(t -> result.add(t, charge.size()));
            }
            result.maxUnknown = result.maxUnknown.plus(node.maxUnknownUsage(state.now()));
        }
        return result;
    }

    /** Returns what {@code team} has running. */
    Resources of(String team) {
        return usageByTeam.getOrDefault(team, Resources.ZERO);
    }

    /** Adds {@code size}, which may be negative, to the usage of {@code team}. */
    void add(String team, Resources size) {
        usageByTeam.merge(team, size, Resources::plus);
    }

    /** Returns an upper bound of the usage of each team by runs that this leader does not know. */
    Resources maxUnknown() {
        return maxUnknown;
    }

    /**
     * Returns whether {@code team} stays within its limit with {@code added} more. All usage that
     * is not known counts, because it may be the team's.
     */
    boolean isWithinLimit(String team, Resources added) {
        return isWithinLimit(team, added, maxUnknown);
    }

    /** Returns whether only usage that is not known keeps {@code team} from {@code added} more. */
    boolean isLimitedByUnknownUsage(String team, Resources added) {
        return !isWithinLimit(team, added) && isWithinLimit(team, added, Resources.ZERO);
    }

    private boolean isWithinLimit(String team, Resources added, Resources unknownUsage) {
        Resources limit =
                configuration
                        .flatMap(c -> c.team(team))
                        .map(CellConfiguration.Team::limit)
                        .orElse(Resources.ZERO);
        Resources usage = of(team).plus(unknownUsage).plus(added);
        return isWithinLimit(usage.cpuMillis(), limit.cpuMillis())
                && isWithinLimit(usage.memoryMb(), limit.memoryMb())
                && isWithinLimit(usage.accelerators(), limit.accelerators());
    }

    private static boolean isWithinLimit(long total, long limit) {
        return limit == 0 || total <= limit;
    }
}
