package org.jujubefork.bench.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.jujubefork.core.workflow.FinishedJob;
import org.jujubefork.core.workflow.WorkerNode;
import org.jujubefork.core.workflow.WorkflowDefinition;
import org.jujubefork.core.workflow.WorkflowEffect;
import org.jujubefork.core.workflow.WorkflowEvent;
import org.jujubefork.core.workflow.WorkflowState;

/**
 * What an emulation has measured.
 *
 * @param lines the report, line by line
 * @param reducerCoreFraction processor time of the reducer per simulated second
 * @param doneFractions the fraction of the jobs that had ended, by kind
 */
record LeaderReport(
        List<String> lines, double reducerCoreFraction, Map<String, Double> doneFractions) {
    private static final long MAX_NANOS = 60_000_000_000L;
    private static final long MAX_MILLIS = 600_000;
    private static final int DIGITS = 3;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Jobs that were submitted in the last part of the run are not counted as late. */
    private static final long SETTLE_MILLIS = 15_000;

    /** What a job earns that ends late, as a fraction of its worth. */
    private static final double LATE_FRACTION = 0.2;

    /** Copies the collections. */
    LeaderReport {
        lines = List.copyOf(lines);
        doneFractions = Map.copyOf(doneFractions);
    }

    /** Collects measurements. */
    static final class Builder {
        private record Submitted(JobKind kind, long at, double objectiveMillis) {}

        private final LeaderEmulator.Setup setup;
        private final Map<String, Histogram> eventNanos = new TreeMap<>();
        private final Map<String, Submitted> submitted = new HashMap<>();
        private final Map<String, Histogram> firstStartMillis = new TreeMap<>();
        private final Map<String, Integer> logEvents = new TreeMap<>();
        private final Histogram adviceWaitMillis = new Histogram(MAX_MILLIS, DIGITS);
        private final Map<String, Boolean> started = new HashMap<>();
        private double adviceMillis;
        private double runCpuMillis;
        private double waitingCpu;
        private double chargedCpu;
        private double sampledCpu;

        Builder(LeaderEmulator.Setup setup) {
            this.setup = setup;
        }

        void addEvent(WorkflowEvent event, long nanos) {
            eventNanos
                    .computeIfAbsent(
                            event.getClass().getSimpleName(), n -> new Histogram(MAX_NANOS, DIGITS))
                    .recordValue(nanos);
        }

        void addSubmitted(String id, JobKind kind, WorkflowDefinition definition, long at) {
            submitted.put(id, new Submitted(kind, at, kind.objectiveMillis(definition)));
        }

        void addRunning(long cpuMillis) {
            runCpuMillis += cpuMillis;
        }

        void addAdvice(long costMillis, double waitMillis) {
            adviceMillis += costMillis;
            adviceWaitMillis.recordValue(Math.max(0, Math.round(waitMillis)));
        }

        /** Adds a sample of how the capacity of the fleet is charged. */
        void addSample(WorkflowState state) {
            for (WorkerNode node : state.workers().values()) {
                for (WorkerNode.Charge charge : node.charges().values()) {
                    long cpu = charge.size().cpuMillis();
                    waitingCpu += charge.sentAt() < 0 ? cpu : 0;
                    chargedCpu += cpu;
                }
                sampledCpu += node.listing().capacity().cpuMillis();
            }
        }

        void addLogEvent(WorkflowEffect.LogEvent event, long at) {
            logEvents.merge(event.event(), 1, Integer::sum);
            if (!event.event().equals("task-start")) {
                return;
            }
            String job = event.subject().substring(0, event.subject().indexOf('.'));
            if (started.put(job, true) == null) {
                Submitted call = submitted.get(job);
                firstStartMillis
                        .computeIfAbsent(call.kind().name(), n -> new Histogram(MAX_MILLIS, DIGITS))
                        .recordValue(at - call.at());
            }
        }

        LeaderReport build(WorkflowState state, long now) {
            List<String> lines = new ArrayList<>();
            double seconds = setup.seconds();
            lines.add(
                    format(
                            "workers %d, entries %d, load %.2f, slowdown %.1f, %d s, seed %d",
                            setup.workerCount(),
                            setup.entryCount(),
                            setup.loadFactor(),
                            setup.slowdown(),
                            setup.seconds(),
                            setup.seed()));
            double totalNanos = 0;
            for (Map.Entry<String, Histogram> event : eventNanos.entrySet()) {
                Histogram nanos = event.getValue();
                double sum = nanos.getMean() * nanos.getTotalCount();
                totalNanos += sum;
                lines.add(
                        format(
                                "event %s: %.0f/s, mean %.0f us, 99%% %.0f us, core %.4f",
                                event.getKey(),
                                nanos.getTotalCount() / seconds,
                                nanos.getMean() / NANOS_PER_MICRO,
                                nanos.getValueAtPercentile(99) / NANOS_PER_MICRO,
                                sum / NANOS_PER_SECOND / seconds));
            }
            lines.add(format("reducer core %.4f", totalNanos / NANOS_PER_SECOND / seconds));
            lines.add(
                    format(
                            "advice: busy entries %.1f, wait mean %.0f ms, 99%% %d ms",
                            adviceMillis / MILLIS_PER_SECOND / seconds,
                            adviceWaitMillis.getMean(),
                            adviceWaitMillis.getValueAtPercentile(99)));
            double capacity = setup.workerCount() * 32_000.0 * seconds * MILLIS_PER_SECOND;
            lines.add(
                    format(
                            "fleet in use by runs: %.3f; charged %.3f, of which waiting for tickets"
                                    + " %.3f",
                            runCpuMillis / capacity,
                            chargedCpu / sampledCpu,
                            waitingCpu / sampledCpu));
            Map<String, Double> doneFractions = addKinds(lines, state, now);
            lines.add("log events: " + logEvents);
            return new LeaderReport(lines, totalNanos / NANOS_PER_SECOND / seconds, doneFractions);
        }

        private Map<String, Double> addKinds(List<String> lines, WorkflowState state, long now) {
            Map<String, Double> doneFractions = new TreeMap<>();
            double earned = 0;
            double owed = 0;
            for (JobKind kind : setup.kinds()) {
                List<String> due =
                        submitted.entrySet().stream()
                                .filter(e -> e.getValue().kind() == kind)
                                .filter(e -> e.getValue().at() < now - SETTLE_MILLIS)
                                .map(Map.Entry::getKey)
                                .toList();
                Map<String, FinishedJob> finished = state.finished();
                long done = due.stream().filter(finished::containsKey).count();
                long onTime = due.stream().filter(j -> isOnTime(j, finished)).count();
                earned += kind.worth() * (onTime + LATE_FRACTION * (done - onTime));
                owed += kind.worth() * due.size();
                double fraction = due.isEmpty() ? 1 : (double) done / due.size();
                doneFractions.put(kind.name(), fraction);
                Histogram waits =
                        firstStartMillis.getOrDefault(
                                kind.name(), new Histogram(MAX_MILLIS, DIGITS));
                lines.add(
                        format(
                                "%s: %d due, done %.3f, in time %.3f, first start 50%% %d ms, 90%% %d ms, 99%% %d"
                                        + " ms",
                                kind.name(),
                                due.size(),
                                fraction,
                                due.isEmpty() ? 1 : (double) onTime / due.size(),
                                waits.getValueAtPercentile(50),
                                waits.getValueAtPercentile(90),
                                waits.getValueAtPercentile(99)));
            }
            lines.add(format("worth earned: %.3f", owed == 0 ? 1 : earned / owed));
            return doneFractions;
        }

        private boolean isOnTime(String job, Map<String, FinishedJob> finished) {
            FinishedJob end = finished.get(job);
            Submitted call = submitted.get(job);
            return end != null
                    && end.endedAtWallMillis() - LeaderEmulator.WALL_OFFSET_MILLIS - call.at()
                            <= call.objectiveMillis();
        }

        private static String format(String pattern, Object... values) {
            return String.format(Locale.ROOT, pattern, values);
        }
    }
}
