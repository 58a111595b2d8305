package org.jujubefork.standins.proof;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.JobView;
import org.jujubefork.standins.Await;
import org.jujubefork.standins.cell.SmallCell;
import org.jujubefork.standins.cell.TestCell;
import org.jujubefork.standins.history.EventType;
import org.jujubefork.standins.history.HistoryEvent;
import org.testng.annotations.Test;

/**
 * D9 and D10. Guards against jobs that lose tasks, run them twice at once, or never end because the
 * owner of their shard was killed.
 */
public final class JobsTest {
    private static final int TASKS = 30;
    private static final int GANG = 6;
    private static final int REPLICAS = 4;

    private static Set<Long> succeeded(List<HistoryEvent> history, String job) {
        Set<Long> indexes = new HashSet<>();
        for (HistoryEvent event : history) {
            if (event.type() == EventType.END
                    && event.text("job").equals(job)
                    && event.text("reason").equals("SUCCEEDED")) {
                indexes.add(event.number("index"));
            }
        }
        return indexes;
    }

    private static long running(TestCell cell, String job) throws Exception {
        Set<String> tasks = new HashSet<>();
        for (HistoryEvent event : cell.fleetHistory()) {
            if (event.text("job").equals(job)) {
                if (event.type() == EventType.START) {
                    tasks.add(event.text("task"));
                } else if (event.type() == EventType.END) {
                    tasks.remove(event.text("task"));
                }
            }
        }
        return tasks.size();
    }

    @Test
    public void jobsSurviveTheirOwner() throws Exception {
        try (TestCell cell = TestCell.start(SmallCell.of(3).plan());
                ApiClient client = cell.client(1, Optional.of(SmallCell.key("red")))) {
            String batch = SaturationTest.submit(cell, "red-batch", TASKS, 2_000).orElseThrow();
            String gang = SaturationTest.submit(cell, "red-gang", GANG, 4_000).orElseThrow();
            String service =
                    SaturationTest.submit(cell, "red-service", REPLICAS, 600_000).orElseThrow();
            Thread.sleep(2_000);
            cell.ownerOf("z1-w1").kill();
            JobView batchEnd = client.await(batch, Duration.ofSeconds(60));
            JobView gangEnd = client.await(gang, Duration.ofSeconds(60));
            List<HistoryEvent> history = cell.fleetHistory();
            Judgement.seen("JobsTest", "batch=" + batchEnd.state() + " gang=" + gangEnd.state());
            Judgement.safe(history, List.of());
            assertEquals(batchEnd.state(), JobView.State.SUCCEEDED, batchEnd.reason());
            assertEquals(gangEnd.state(), JobView.State.SUCCEEDED, gangEnd.reason());
            assertEquals(succeeded(history, batch).size(), TASKS);
            assertEquals(succeeded(history, gang).size(), GANG);
            assertTrue(isOneShard(history, gang), "the gang ran in more than one shard");
            Await.until("all replicas", () -> running(cell, service) == REPLICAS);
            client.cancel(service);
            Await.until("stopped replicas", () -> running(cell, service) == 0);
        }
    }

    private static boolean isOneShard(List<HistoryEvent> history, String job) {
        return history.stream()
                        .filter(e -> e.type() == EventType.START && e.text("job").equals(job))
                        .map(e -> e.text("worker").substring(0, 2))
                        .distinct()
                        .count()
                == 1;
    }
}
