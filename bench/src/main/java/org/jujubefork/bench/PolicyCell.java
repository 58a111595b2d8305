package org.jujubefork.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.control.EntryIdentity;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Timing;
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
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/** The simulated cell of the policy report: 30 workers in three shards, owned by one entry. */
final class PolicyCell {
    static final Resources WORKER_CAPACITY = Resources.of(30_000, 130_000, 2);
    static final int SLOTS_PER_WORKER = 8;

    private static final int WORKER_COUNT = 30;
    private static final int SHARD_COUNT = 3;
    private static final int WORKERS_PER_RACK = 8;

    private PolicyCell() {}

    static TeamId teamId(int index) {
        return TeamId.of("team-" + index);
    }

    static QueueId queueId(String kind, int team) {
        return QueueId.of(kind + "-" + team);
    }

    static String kindName(WorkKind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    static State initialState(Workload workload, PolicyVariant variant) {
        Location location = new Location("region", "zone-0", "rack");
        EntryIdentity self = new EntryIdentity(new EntryId("entry", 1), location, "h:1", "p:1");
        return State.initial(self, Timing.DEFAULT, 0)
                .withConfiguration(configuration(workload, variant));
    }

    private static Configuration configuration(Workload workload, PolicyVariant variant) {
        PMap<TeamId, Team> teams = HashTreePMap.empty();
        PMap<QueueId, Queue> queues = HashTreePMap.empty();
        for (int i = 0; i < workload.weights().size(); i++) {
            Team team =
                    new Team(
                            teamId(i),
                            workload.weights().get(i),
                            WORKER_CAPACITY.times(WORKER_COUNT));
            teams = teams.plus(team.id(), team);
            for (WorkKind kind : WorkKind.values()) {
                QueueId id = queueId(kindName(kind), i);
                queues = queues.plus(id, queue(id, i, kind, false));
            }
            QueueId urgent = queueId("urgent", i);
            queues = queues.plus(urgent, queue(urgent, i, WorkKind.LOOKUP, true));
        }
        return new Configuration(
                1,
                workload.name(),
                1,
                1,
                720,
                teams,
                queues,
                HashTreePMap.empty(),
                variant.policies(),
                variant.tuning());
    }

    private static Queue queue(QueueId id, int team, WorkKind kind, boolean urgent) {
        return new Queue(
                id, teamId(team), true, kind, Resources.of(200, 256, 0), urgent, 10_000, 10_000);
    }

    static PVector<WorkerListing> workerListings() {
        List<WorkerListing> listings = new ArrayList<>();
        for (int i = 0; i < WORKER_COUNT; i++) {
            String zone = "zone-" + i % SHARD_COUNT;
            String rack = "rack-" + i % SHARD_COUNT + "-" + i / SHARD_COUNT / WORKERS_PER_RACK;
            listings.add(
                    new WorkerListing(
                            WorkerId.of(String.format(Locale.ROOT, "worker-%02d", i)),
                            "127.0.0.1:" + i,
                            new Location("region", zone, rack),
                            WORKER_CAPACITY,
                            SLOTS_PER_WORKER,
                            false));
        }
        return TreePVector.from(listings);
    }
}
