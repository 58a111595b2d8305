package org.jujubefork.entry.telemetry;

import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.Evacuations;
import org.jujubefork.core.workflow.LearnedDurations;
import org.jujubefork.core.workflow.ServiceBacklogs;
import org.jujubefork.core.workflow.TaskKey;
import org.jujubefork.core.workflow.TeamAccount;
import org.jujubefork.core.workflow.TeamLedger;
import org.jujubefork.core.workflow.UnclaimedRoom;
import org.jujubefork.core.workflow.WaitReason;
import org.jujubefork.core.workflow.WaitingSteps;
import org.jujubefork.core.workflow.WorkerNode;
import org.jujubefork.core.workflow.WorkflowEffect.LogEvent;
import org.jujubefork.core.workflow.WorkflowState;
import org.pcollections.HashTreePMap;
import org.testng.annotations.Test;

/** Guards against decisions, calls and ages that are missing or wrong in the metrics. */
public final class WorkflowMetricsTest {
    private static String metricsPage(WorkflowMetrics metrics) throws IOException {
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(page, metrics.registry().scrape());
        return page.toString(StandardCharsets.UTF_8);
    }

    private static void assertLine(String page, String line) {
        assertTrue(page.lines().anyMatch(line::equals), line + " not found in\n" + page);
    }

    @Test
    public void decisionsAreCountedByReason() throws IOException {
        WorkflowMetrics metrics = WorkflowMetrics.create();
        metrics.countDecision(
                LogEvent.of("job-refused", "id", "queue", "q", "reason", "beyond-share"));
        metrics.countDecision(
                LogEvent.of("job-refused", "id", "queue", "q", "reason", "beyond-share"));
        metrics.countDecision(LogEvent.of("task-start", "id.0.0.0", "run", 1, "waited_ms", 250));
        String page = metricsPage(metrics);
        assertLine(
                page, "jujube_decisions_total{kind=\"job-refused\",reason=\"beyond-share\"} 2.0");
        assertLine(page, "jujube_waiting_seconds_bucket{le=\"0.1\"} 0");
        assertLine(page, "jujube_waiting_seconds_bucket{le=\"0.3\"} 1");
    }

    @Test
    public void callsAreCountedByOutcome() throws IOException {
        WorkflowMetrics metrics = WorkflowMetrics.create();
        metrics.countRequest("q", 429, 5);
        metrics.countStoreCall("write", "412", 4);
        String page = metricsPage(metrics);
        assertLine(page, "jujube_requests_total{queue=\"q\",status=\"429\"} 1.0");
        assertLine(page, "jujube_store_calls_total{answer=\"412\",operation=\"write\"} 1.0");
    }

    @Test
    public void gaugesAreComputedFromTheCurrentState() throws IOException {
        WorkflowMetrics metrics = WorkflowMetrics.create();
        WorkflowState state = WorkflowState.initial("e", 1_000).withTime(4_000);
        metrics.registerStateGauges(() -> state, () -> 4_999);
        String page = metricsPage(metrics);
        assertLine(page, "jujube_leads 0.0");
        assertLine(page, "jujube_configuration_age_seconds 5.0");
        assertLine(page, "jujube_scheduling_policy{policy=\"order:acceptance\"} 1.0");
    }

    /** Guards against an overloaded control thread that operators cannot see. */
    @Test
    public void loadOfTheControlThreadIsShown() throws IOException {
        WorkflowMetrics metrics = WorkflowMetrics.create();
        metrics.registerEventGauge(() -> 12);
        metrics.countDecision(LogEvent.of("control-load", 3, "longest_tick_ms", 250));
        String page = metricsPage(metrics);
        assertLine(page, "jujube_event_backlog 12.0");
        assertLine(page, "jujube_longest_tick_seconds_sum 0.25");
    }

    /** Guards against rejections whose reason operators cannot see. */
    @Test
    public void unclaimedRoomIsShownByService() throws IOException {
        WorkflowMetrics metrics = WorkflowMetrics.create();
        ServiceBacklogs.ServiceBacklog backlog =
                new ServiceBacklogs.ServiceBacklog(
                        16_000, Map.of(), List.of(), false, new UnclaimedRoom(9_000, 12_000));
        WorkflowState state =
                WorkflowState.initial("e", 1_000).with(new ServiceBacklogs(Map.of("s", backlog)));
        metrics.registerStateGauges(() -> state, () -> 0);
        String page = metricsPage(metrics);
        assertLine(page, "jujube_free_cpu_millis{service=\"s\"} 9000.0");
        assertLine(page, "jujube_claimed_cpu_millis{service=\"s\"} 12000.0");
    }

    /** Guards against learned durations that operators cannot see. */
    @Test
    public void learnedDurationsAreShownByQueue() throws IOException {
        WorkflowMetrics metrics = WorkflowMetrics.create();
        LearnedDurations learned = LearnedDurations.NONE;
        for (int i = 0; i < 20; i++) {
            learned = learned.with("q", 1, 2);
        }
        WorkflowState state = WorkflowState.initial("e", 1_000).with(learned);
        metrics.registerStateGauges(() -> state, () -> 0);
        String page = metricsPage(metrics);
        assertLine(page, "jujube_learned_duration_factor{queue=\"q\"} 2.0");
        assertLine(page, "jujube_learned_estimate_weight{queue=\"q\"} 1.0");
    }

    @Test
    public void waitingStepsAreShownByReason() throws IOException {
        WorkflowMetrics metrics = WorkflowMetrics.create();
        WorkerNode.Listing worker =
                new WorkerNode.Listing(
                        "w", "s", "w:1", "z", false, Resources.of(1, 1, 0), List.of(), "", 0);
        WorkflowState state =
                WorkflowState.initial("e", 1_000)
                        .with(WorkerNode.listed(worker))
                        .with(
                                new WaitingSteps(
                                        Map.of(),
                                        Map.of(
                                                WaitReason.NO_TICKET,
                                                new WaitingSteps.Total(2, 1_500)),
                                        Optional.empty(),
                                        3,
                                        0,
                                        HashTreePMap.empty()));
        metrics.registerStateGauges(() -> state, () -> 4_000);
        String page = metricsPage(metrics);
        assertLine(page, "jujube_waiting_steps{reason=\"no-ticket\"} 2.0");
        assertLine(page, "jujube_waiting_steps{reason=\"no-room\"} 0.0");
        assertLine(page, "jujube_longest_wait_seconds{reason=\"no-ticket\"} 2.5");
        assertLine(page, "jujube_longest_wait_seconds{reason=\"no-room\"} 0.0");
        assertLine(page, "jujube_unreached_workers 1.0");
        assertLine(page, "jujube_reserved_workers 3.0");
    }

    /** Guards against an evacuated zone whose running tasks operators can't see. */
    @Test
    public void evacuatedZonesAreShownWithTheirTasks() throws IOException {
        WorkflowMetrics metrics = WorkflowMetrics.create();
        WorkerNode.Listing worker =
                new WorkerNode.Listing(
                        "w", "s", "w:1", "z", false, Resources.of(1, 1, 0), List.of(), "", 0);
        WorkerNode.Charge started =
                new WorkerNode.Charge(1, Resources.of(1, 1, 0), Optional.of("t"), 5, false, 5);
        Evacuations evacuations = Evacuations.notRead(5_000);
        WorkflowState state =
                WorkflowState.initial("e", 1_000)
                        .with(
                                WorkerNode.listed(worker)
                                        .withCharge(new TaskKey("j", 0, 0, 0), started))
                        .with(
                                new Evacuations(
                                        HashTreePMap.<String, Long>empty()
                                                .plus("z", 7L)
                                                .plus("y", 8L),
                                        HashTreePMap.empty(),
                                        true,
                                        9,
                                        9,
                                        evacuations.maxAgeMillis(),
                                        false));
        metrics.registerStateGauges(() -> state, () -> 4_000);
        String page = metricsPage(metrics);
        assertLine(page, "jujube_evacuated_zones 2.0");
        assertLine(page, "jujube_evacuated_zone_tasks{zone=\"z\"} 1.0");
        assertLine(page, "jujube_evacuated_zone_tasks{zone=\"y\"} 0.0");
        assertLine(page, "jujube_waiting_steps{reason=\"zone-evacuated\"} 0.0");
    }

    /** Guards against metrics that do not show which team uses more than its share. */
    @Test
    public void pageShowsSharesOfTeams() throws IOException {
        WorkflowMetrics metrics = WorkflowMetrics.create();
        TeamLedger ledger =
                new TeamLedger(
                        HashTreePMap.singleton("t", new TeamAccount(1, 3_000_000, 0, 0, 0)),
                        Map.of(),
                        new TeamLedger.Totals(3_000_000, 3_000_000, 2, 0),
                        0,
                        0);
        WorkflowState state = WorkflowState.initial("e", 1_000).with(ledger);
        metrics.registerStateGauges(() -> state, () -> 4_000);
        String page = metricsPage(metrics);
        assertLine(page, "jujube_team_used_core_seconds{team=\"t\"} 3.0");
        assertTrue(page.contains("jujube_team_share_ratio{team=\"t\"} 1.41"), page);
    }
}
