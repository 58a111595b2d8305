package org.jujubefork.core.configuration;

import java.util.Optional;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.PMap;

/**
 * The configuration of one site: the base file merged with the site's overlay, checked.
 *
 * @param version grows with each accepted change; 0 means that no configuration is known
 * @param cell the name of the cell
 * @param expectedEntries how many entries the cell has; a majority is counted against this number
 * @param shardsPerZone into how many shards the workers of a zone are divided
 * @param claimRetentionHours how long the claim of a non-idempotent request is kept
 * @param teams all teams
 * @param queues all queues
 * @param keys keys in force, by hash
 * @param policies the policies by kind of work
 * @param tuning figures
 */
public record Configuration(
        long version,
        String cell,
        int expectedEntries,
        int shardsPerZone,
        int claimRetentionHours,
        PMap<TeamId, Team> teams,
        PMap<QueueId, Queue> queues,
        PMap<String, KeyGrant> keys,
        PMap<WorkKind, KindPolicy> policies,
        Tuning tuning) {
    /** Checks the counts. */
    public Configuration {
        if (expectedEntries < 1) {
            throw new IllegalArgumentException(
                    "expectedEntries must be at least 1: " + expectedEntries);
        }
        if (shardsPerZone < 1) {
            throw new IllegalArgumentException(
                    "shardsPerZone must be at least 1: " + shardsPerZone);
        }
        if (claimRetentionHours < 1) {
            throw new IllegalArgumentException(
                    "claimRetentionHours must be at least 1: " + claimRetentionHours);
        }
    }

    /** Returns the smallest number of entries that is more than half of the expected ones. */
    public int majority() {
        return expectedEntries / 2 + 1;
    }

    /** Returns the queue {@code id}, if it exists. */
    public Optional<Queue> queue(QueueId id) {
        return Optional.ofNullable(queues.get(id));
    }

    /** Returns the team {@code id}, if it exists. */
    public Optional<Team> team(TeamId id) {
        return Optional.ofNullable(teams.get(id));
    }

    /** Returns the grant of the key with {@code hash}, if it is in force. */
    public Optional<KeyGrant> key(String hash) {
        return Optional.ofNullable(keys.get(hash));
    }

    /** Returns the sum of the weights of all teams. */
    public double totalWeight() {
        return teams.values().stream().mapToDouble(Team::weight).sum();
    }
}
