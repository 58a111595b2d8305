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

/** What the report says about one run. */
final class PolicyMeasures {
    private final Workload workload;
    private final Map<Lane, Histogram> waits = new EnumMap<>(Lane.class);
    private final double[] shares;
    private int samples;
    private double packing;
    private int preemptions;

    PolicyMeasures(Workload workload) {
        this.workload = workload;
        this.shares = new double[workload.weights().size()];
        for (Lane lane : Lane.values()) {
            waits.put(lane, new Histogram(3));
        }
    }

    void started(WorkKind kind, boolean urgent, long waitedMillis, long nowMillis) {
        if (nowMillis >= Workload.MEASURE_FROM_MILLIS) {
            waits.get(Lane.of(kind, urgent)).recordValue(waitedMillis);
        }
    }

    /** Counts work that still waits at the end with the time that it has waited. */
    void waited(WorkKind kind, Lane lane, long waitedMillis) {
        if (kind != WorkKind.SERVICE) {
            waits.get(lane).recordValue(Math.max(0, waitedMillis));
        }
    }

    void preempted() {
        preemptions++;
    }

    void sample(State state) {
        Resources capacity = FleetUsage.capacity(state);
        double total = 0;
        double[] now = new double[shares.length];
        for (int i = 0; i < now.length; i++) {
            now[i] = FleetUsage.of(state, PolicyCell.team(i)).dominantShareOf(capacity);
            total += now[i];
        }
        for (int i = 0; i < now.length; i++) {
            shares[i] += now[i] / total;
        }
        Resources committed = Resources.ZERO;
        for (ShardState shard : state.shards().values()) {
            for (var worker : shard.workers().values()) {
                committed = committed.plus(worker.committed());
            }
        }
        packing += committed.dominantShareOf(capacity);
        samples++;
    }

    /** Returns the distance of {@code team} from its share, in points of the used capacity. */
    double distance(int team) {
        double weights = workload.weights().stream().mapToInt(Integer::intValue).sum();
        return 100 * (shares[team] / samples - workload.weights().get(team) / weights);
    }

    /** Returns the mean of the distances without sign. */
    double meanDistance() {
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            sum += Math.abs(distance(i));
        }
        return sum / shares.length;
    }

    /** Returns the part of the scarcest resource that is committed, in percent. */
    double packing() {
        return 100 * packing / samples;
    }

    int preemptions() {
        return preemptions;
    }

    long wait(Lane lane, double percentile) {
        return waits.get(lane).getValueAtPercentile(percentile);
    }

    long count(Lane lane) {
        return waits.get(lane).getTotalCount();
    }
}
