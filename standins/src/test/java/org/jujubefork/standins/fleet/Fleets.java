package org.jujubefork.standins.fleet;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.JobTask;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.TaskId;
import org.jujubefork.core.model.TaskSpec;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;

/** Workers and tasks for tests. */
public final class Fleets {
    public static final Resources CAPACITY = Resources.of(30_000, 130_000, 2);
    public static final Resources SIZE = Resources.of(1_000, 1_000, 0);
    public static final Location LOCATION = Location.of("leman", "leman-a", "r1");

    private Fleets() {}

    /** Returns workers {@code w1} and so on, at free ports. */
    public static FleetFile workers(int count) {
        return new FleetFile(
                IntStream.rangeClosed(1, count).mapToObj(i -> worker("w" + i)).toList(), List.of());
    }

    static FleetFile.Worker worker(String id) {
        return new FleetFile.Worker(
                id,
                LOCATION,
                "127.0.0.1",
                0,
                CAPACITY,
                FleetFile.DEFAULT_SLOTS,
                FleetFile.DEFAULT_CONNECTIONS);
    }

    public static Epoch epoch(long number, String entry) {
        return Epoch.of(number, EntryId.of(entry, 1));
    }

    /** Returns a task of a job, of one core. */
    public static TaskSpec task(String id, WorkKind kind, String payload) {
        return task(id, kind, SIZE, payload);
    }

    public static TaskSpec task(String id, WorkKind kind, Resources size, String payload) {
        return new TaskSpec(
                TaskId.of(id),
                TeamId.of("team-a"),
                QueueId.of("queue"),
                kind,
                size,
                kind.isRequest()
                        ? Optional.empty()
                        : Optional.of(new JobTask(JobId.of("job"), 3, 2)),
                payload);
    }

    public static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
