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

/** The cell of the policy report: 30 workers in three shards, all owned by one entry. */
final class PolicyCell {
    static final Resources WORKER = Resources.of(30_000, 130_000, 2);
    static final int SLOTS = 8;

    private static final int WORKERS = 30;
    private static final int SHARDS = 3;
    private static final int WORKERS_PER_RACK = 8;

    private PolicyCell() {}

    static TeamId team(int index) {
        return TeamId.of("team-" + index);
    }

    static QueueId queue(String kind, int team) {
        return QueueId.of(kind + "-" + team);
    }

    static String nameOf(WorkKind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    static State initial(Workload workload, PolicyChoice choice) {
        Location location = new Location("region", "zone-0", "rack");
        EntryIdentity self = new EntryIdentity(new EntryId("entry", 1), location, "h:1", "p:1");
        return State.initial(self, Timing.DEFAULT, 0)
                .withConfiguration(configuration(workload, choice));
    }

    private static Configuration configuration(Workload workload, PolicyChoice choice) {
        PMap<TeamId, Team> teams = HashTreePMap.empty();
        PMap<QueueId, Queue> queues = HashTreePMap.empty();
        for (int i = 0; i < workload.weights().size(); i++) {
            Team team = new Team(team(i), workload.weights().get(i), WORKER.times(WORKERS));
            teams = teams.plus(team.id(), team);
            for (WorkKind kind : WorkKind.values()) {
                QueueId id = queue(nameOf(kind), i);
                queues = queues.plus(id, queue(id, i, kind, false));
            }
            QueueId urgent = queue("urgent", i);
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
                choice.policies(),
                choice.tuning());
    }

    private static Queue queue(QueueId id, int team, WorkKind kind, boolean urgent) {
        return new Queue(
                id, team(team), true, kind, Resources.of(200, 256, 0), urgent, 10_000, 10_000);
    }

    static PVector<WorkerListing> listings() {
        List<WorkerListing> listings = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            String zone = "zone-" + i % SHARDS;
            String rack = "rack-" + i % SHARDS + "-" + i / SHARDS / WORKERS_PER_RACK;
            listings.add(
                    new WorkerListing(
                            WorkerId.of(String.format(Locale.ROOT, "worker-%02d", i)),
                            "127.0.0.1:" + i,
                            new Location("region", zone, rack),
                            WORKER,
                            SLOTS,
                            false));
        }
        return TreePVector.from(listings);
    }
}
