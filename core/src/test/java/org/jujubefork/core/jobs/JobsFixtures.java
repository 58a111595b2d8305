package org.jujubefork.core.jobs;

import java.util.List;
import java.util.Locale;
import org.jujubefork.core.configuration.Configuration;
import org.jujubefork.core.configuration.Queue;
import org.jujubefork.core.configuration.Team;
import org.jujubefork.core.configuration.Tuning;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** The configuration and locations of {@link JobsSimulation}. */
final class JobsFixtures {
    static final TeamId TEAM = TeamId.of("team");
    static final Resources CORE = Resources.of(1_000, 1_024, 0);

    private JobsFixtures() {}

    static Location zone(int number) {
        return Location.of("region", "zone-" + number, "rack-" + number);
    }

    static Configuration configuration() {
        PMap<QueueId, Queue> queues = HashTreePMap.empty();
        for (WorkKind kind : List.of(WorkKind.BATCH, WorkKind.SERVICE, WorkKind.GANG)) {
            QueueId id = queue(kind);
            queues = queues.plus(id, new Queue(id, TEAM, true, kind, CORE, false, 1_000, 1_000));
        }
        QueueId closed = QueueId.of("closed");
        queues =
                queues.plus(
                        closed,
                        new Queue(closed, TEAM, false, WorkKind.BATCH, CORE, false, 1_000, 1_000));
        return new Configuration(
                1,
                "cell",
                1,
                1,
                720,
                HashTreePMap.singleton(TEAM, new Team(TEAM, 1, CORE.times(100_000))),
                queues,
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                Tuning.DEFAULT);
    }

    static QueueId queue(WorkKind kind) {
        return QueueId.of(kind.name().toLowerCase(Locale.ROOT));
    }
}
