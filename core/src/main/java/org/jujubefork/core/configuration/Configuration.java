package org.jujubefork.core.configuration;

import java.util.Optional;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.PMap;

/**
 * The validated configuration of one site: the base file merged with the site's overlay.
 *
 * @param version increases with each accepted change; 0 means that no configuration is known
 * @param cell the name of the cell
 * @param expectedEntries number of entries that the cell should have; a majority is more than half
 *     of this number
 * @param shardsPerZone number of shards into which the workers of an availability zone are divided
 * @param claimRetentionHours how long the claim of a non-idempotent request is retained, in hours
 * @param teams all teams
 * @param queues all queues
 * @param keys access keys in force, by SHA-256 hash
 * @param policies scheduling policies by kind of work
 * @param tuning parameters that operators may change at run time
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
    /** Checks that all counts are at least 1. */
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

    /** Returns the smallest number of entries that is more than half of {@code expectedEntries}. */
    public int majority() {
        return expectedEntries / 2 + 1;
    }

    /** Returns the queue {@code id}; empty if it is not configured. */
    public Optional<Queue> queue(QueueId id) {
        return Optional.ofNullable(queues.get(id));
    }

    /** Returns the team {@code id}; empty if it is not configured. */
    public Optional<Team> team(TeamId id) {
        return Optional.ofNullable(teams.get(id));
    }

    /** Returns the grant of the access key with {@code hash}; empty if no such key is in force. */
    public Optional<KeyGrant> key(String hash) {
        return Optional.ofNullable(keys.get(hash));
    }

    /** Returns the sum of the weights of all teams. */
    public double totalWeight() {
        return teams.values().stream().mapToDouble(Team::weight).sum();
    }
}
