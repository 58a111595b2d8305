package org.jujubefork.bench;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.jujubefork.core.control.State;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.placement.FleetUsage;
import org.jujubefork.core.placement.Lane;
import org.jujubefork.core.placement.ShardState;

/** Collects waiting times, shares, packing and preemptions of one run for the report. */
final class PolicyMetrics {
    private final Workload workload;
    private final Map<Lane, Histogram> waitHistograms = new EnumMap<>(Lane.class);
    private final double[] shareSums;
    private int sampleCount;
    private double packingSum;
    private int preemptions;

    PolicyMetrics(Workload workload) {
        this.workload = workload;
        this.shareSums = new double[workload.weights().size()];
        for (Lane lane : Lane.values()) {
            waitHistograms.put(lane, new Histogram(3));
        }
    }

    /** Records the wait before a start; starts before the measurements begin are ignored. */
    void recordStart(WorkKind kind, boolean urgent, long waitedMillis, long nowMillis) {
        if (nowMillis >= Workload.MEASURE_FROM_MILLIS) {
            waitHistograms.get(Lane.of(kind, urgent)).recordValue(waitedMillis);
        }
    }

    /**
     * Records how long work that is still queued at the end of the run has waited. Replicas of
     * services are ignored.
     */
    void recordStillWaiting(WorkKind kind, Lane lane, long waitedMillis) {
        if (kind != WorkKind.SERVICE) {
            waitHistograms.get(lane).recordValue(Math.max(0, waitedMillis));
        }
    }

    void recordPreemption() {
        preemptions++;
    }

    /** Adds a sample of the teams' shares of the used capacity and of the packing. */
    void sample(State state) {
        Resources capacity = FleetUsage.capacity(state);
        double total = 0;
        double[] currentShares = new double[shareSums.length];
        for (int i = 0; i < currentShares.length; i++) {
            currentShares[i] = FleetUsage.of(state, PolicyCell.teamId(i)).dominantShareOf(capacity);
            total += currentShares[i];
        }
        for (int i = 0; i < currentShares.length; i++) {
            shareSums[i] += currentShares[i] / total;
        }
        Resources committed = Resources.ZERO;
        for (ShardState shard : state.shards().values()) {
            for (var worker : shard.workers().values()) {
                committed = committed.plus(worker.committed());
            }
        }
        packingSum += committed.dominantShareOf(capacity);
        sampleCount++;
    }

    /**
     * Returns the share of the used capacity that {@code team} had on average minus its fair share,
     * in percentage points.
     */
    double shareDeviationPoints(int team) {
        double weights = workload.weights().stream().mapToInt(Integer::intValue).sum();
        return 100 * (shareSums[team] / sampleCount - workload.weights().get(team) / weights);
    }

    /** Returns the mean of the absolute deviations of all teams, in percentage points. */
    double meanAbsoluteDeviationPoints() {
        double sum = 0;
        for (int i = 0; i < shareSums.length; i++) {
            sum += Math.abs(shareDeviationPoints(i));
        }
        return sum / shareSums.length;
    }

    /** Returns the committed fraction of the scarcest resource, averaged over time, in percent. */
    double packingPercent() {
        return 100 * packingSum / sampleCount;
    }

    int preemptions() {
        return preemptions;
    }

    long waitPercentileMillis(Lane lane, double percentile) {
        return waitHistograms.get(lane).getValueAtPercentile(percentile);
    }

    long waitCount(Lane lane) {
        return waitHistograms.get(lane).getTotalCount();
    }
}
