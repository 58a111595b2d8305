package org.jujubefork.core.testing;

import java.util.Map;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.control.EntryIdentity;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.model.WorkerId;
import org.jujubefork.core.model.WorkerListing;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Configurations, identities and other values that tests share. */
public final class Fixtures {
    public static final Resources TASK_SIZE = Resources.of(1_000, 1_000, 0);
    public static final Resources WORKER_CAPACITY = TASK_SIZE.times(4);

    private Fixtures() {}

    /**
     * Returns a configuration with one team and queue per limit. Limits are numbers of tasks of
     * size {@link #TASK_SIZE}.
     */
    public static Configuration configuration(
            long version, int expectedEntries, Map<String, Integer> limits) {
        PMap<TeamId, Team> teams = HashTreePMap.empty();
        PMap<QueueId, Queue> queues = HashTreePMap.empty();
        for (var teamAndLimit : limits.entrySet()) {
            TeamId team = TeamId.of(teamAndLimit.getKey());
            teams = teams.plus(team, new Team(team, 1, TASK_SIZE.times(teamAndLimit.getValue())));
            QueueId queue = QueueId.of(teamAndLimit.getKey());
            queues =
                    queues.plus(
                            queue,
                            new Queue(
                                    queue,
                                    team,
                                    true,
                                    WorkKind.LOOKUP,
                                    TASK_SIZE,
                                    false,
                                    9_000,
                                    99));
        }
        Tuning tuning = new Tuning(30_000, 10_000, Resources.ZERO, 0, 20_000, 3, 5, 30_000, 2, 40);
        return new Configuration(
                version,
                "test",
                expectedEntries,
                1,
                720,
                teams,
                queues,
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                tuning);
    }

    public static EntryIdentity identity(String name, long incarnation, String zone) {
        return new EntryIdentity(
                EntryId.of(name, incarnation),
                Location.of("region", zone, "rack"),
                name + ":80",
                name + ":70");
    }

    public static WorkerListing listing(String id, String zone) {
        return new WorkerListing(
                WorkerId.of(id),
                id + ":90",
                Location.of("region", zone, "rack"),
                WORKER_CAPACITY,
                8,
                false);
    }
}
