package org.jujubefork.core.workflow;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.CellConfiguration.AdviceSettings;
import org.jujubefork.core.workflow.CellConfiguration.Queue;
import org.jujubefork.core.workflow.LoadReplay.Arrival;
import org.jujubefork.core.workflow.LoadReplay.Result;
import org.jujubefork.core.workflow.LoadReplay.Served;
import org.testng.annotations.Test;

/**
 * Replays a crowd: a burst of one queue coincides with a team that submits five times its usual
 * load, which is far more jobs in a second than its weight. The teams and the work of their jobs
 * are very unequal, and all steps need advice.
 */
public final class TeamBurstLoadTest {
    private static final int WORKER_COUNT = 48;
    private static final int TEAM_COUNT = 10;
    private static final int SEED_COUNT = 3;
    private static final int MAX_RETURNS = 4;
    private static final long LOAD_MILLIS = 26_000;
    private static final long BURST_FROM_MILLIS = 6_000;
    private static final long BURST_UNTIL_MILLIS = 13_000;
    private static final double BULK_BURST_FACTOR = 2.1;
    private static final int BURST_TEAM = 1;
    private static final double TEAM_BURST_FACTOR = 5;

    /** Longest time for which a rate of arrivals is taken for constant. */
    private static final long MAX_GAP_MILLIS = 200;

    /** The policies of {@code deploy/settings.jsonc}. */
    private static final SchedulingPolicies DEPLOYED =
            SchedulingPolicies.named("delay-cost", "rate", "learned", "spread");

    /** Ratio of the weight of a team to the jobs that it usually submits in a second. */
    private static final double WEIGHT_RATIO = 1.9;

    private static final double MIN_WEIGHT = 1;

    /** Seconds of its weight that a team may submit at once. */
    private static final double BUCKET_SECONDS = 2;

    private static final Queue SHORT =
            queue("short", 0, 1.5, 401, new AdviceSettings(11, 0.16, 2_000));
    private static final Queue GANGS =
            queue("gangs", 1, 2.2, 1_201, new AdviceSettings(350, 5, 2_000));
    private static final Queue BULK =
            queue("bulk", 2, 4, 3_001, new AdviceSettings(80, 1.1, 2_000));

    /** Mean number of jobs in a second. */
    private static final Map<Queue, Double> RATES = Map.of(SHORT, 11.0, GANGS, 0.73, BULK, 1.53);

    /** What an average job of each queue is worth to its caller. */
    private static final Map<Queue, Double> WORTH = Map.of(SHORT, 0.43, GANGS, 7.4, BULK, 2.2);

    private static Queue queue(
            String name, int priority, double factor, long baseMillis, AdviceSettings advice) {
        return new Queue(
                name,
                "h",
                "/" + name,
                LeaderFixture.SERVICE,
                priority,
                3,
                3_000,
                factor,
                baseMillis,
                true,
                Optional.of(advice));
    }

    /** Returns the part of the load that {@code team} submits; few teams submit most of it. */
    private static double shareOf(int team) {
        double sum = 0;
        for (int i = 1; i <= TEAM_COUNT; i++) {
            sum += Math.pow(i, -1.2);
        }
        return Math.pow(team + 1, -1.2) / sum;
    }

    private static double weightOf(int team) {
        double rate = RATES.values().stream().mapToDouble(r -> r).sum() * shareOf(team);
        return Math.max(MIN_WEIGHT, WEIGHT_RATIO * rate);
    }

    private static List<CellConfiguration.Team> teams() {
        List<CellConfiguration.Team> teams = new ArrayList<>();
        for (int i = 0; i < TEAM_COUNT; i++) {
            teams.add(new CellConfiguration.Team("t" + i, List.of(), weightOf(i), Resources.ZERO));
        }
        return teams;
    }

    private static List<Arrival> load(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Arrival> load = new ArrayList<>();
        for (Queue queue : List.of(SHORT, GANGS, BULK)) {
            for (int team = 0; team < TEAM_COUNT; team++) {
                addArrivals(load, queue, team, random);
            }
        }
        load.sort(Comparator.comparingLong(Arrival::atMillis));
        return load;
    }

    private static void addArrivals(
            List<Arrival> load, Queue queue, int team, SplittableRandom random) {
        double at = 0;
        while (true) {
            boolean isBurst = at >= BURST_FROM_MILLIS && at < BURST_UNTIL_MILLIS;
            double factor =
                    isBurst
                            ? (queue == BULK ? BULK_BURST_FACTOR : 1)
                                    * (team == BURST_TEAM ? TEAM_BURST_FACTOR : 1)
                            : 1;
            double rate = RATES.get(queue) * shareOf(team) * factor;
            double gap = -Math.log(1 - random.nextDouble()) * 1_000 / rate;
            at += Math.min(gap, MAX_GAP_MILLIS);
            if (at >= LOAD_MILLIS) {
                return;
            }
            if (gap <= MAX_GAP_MILLIS) {
                load.add(new Arrival(Math.round(at), queue, "t" + team, draw(queue, random)));
            }
        }
    }

    private static WorkflowDefinition draw(Queue queue, SplittableRandom random) {
        double factor = random.nextDouble() < 0.15 ? 2.5 : 0.4 + 0.7 * random.nextDouble();
        if (queue == SHORT) {
            return LoadReplay.job(tasks(3, factor), 2.5, 1_000, random.nextDouble() < 0.3);
        }
        return queue == GANGS
                ? LoadReplay.job(tasks(20, factor), 4.5, 4_000, true)
                : LoadReplay.job(tasks(37, factor), 1.7, 2_200, false);
    }

    private static int tasks(int mean, double factor) {
        return (int) Math.max(1, Math.round(mean * factor));
    }

    /** Returns the jobs that their teams submit within their weights. */
    private static List<Served> owed(List<Served> served) {
        Map<String, Double> tokens = new HashMap<>();
        Map<String, Long> updatedAt = new HashMap<>();
        List<Served> owed = new ArrayList<>();
        for (Served job : served) {
            String team = job.arrival().team();
            double weight = weightOf(Integer.parseInt(team.substring(1)));
            long at = job.arrival().atMillis();
            double available =
                    Math.min(
                            weight * BUCKET_SECONDS,
                            tokens.getOrDefault(team, weight * BUCKET_SECONDS)
                                    + (at - updatedAt.getOrDefault(team, at)) * weight / 1_000);
            updatedAt.put(team, at);
            tokens.put(team, available >= 1 ? available - 1 : available);
            if (available >= 1) {
                owed.add(job);
            }
        }
        return owed;
    }

    private static double earned(List<Served> served) {
        double earned = 0;
        double sum = 0;
        for (Served job : served) {
            double worth = WORTH.get(job.arrival().queue());
            sum += worth;
            earned +=
                    switch (job.result()) {
                        case ON_TIME -> worth;
                        case LATE -> worth / 5;
                        case TOO_LATE, REJECTED -> 0;
                    };
        }
        return earned / sum;
    }

    private static String summary(List<Served> served) {
        Map<String, Map<Result, Integer>> counts = new TreeMap<>();
        for (Served job : served) {
            counts.computeIfAbsent(job.arrival().queue().name(), q -> new EnumMap<>(Result.class))
                    .merge(job.result(), 1, Integer::sum);
        }
        return "earned %.3f %s".formatted(earned(served), counts);
    }

    private static List<Served> replay(SchedulingPolicies policies, long seed) {
        List<Served> served =
                new ArrayList<>(
                        LoadReplay.run(
                                policies,
                                WORKER_COUNT,
                                List.of(SHORT, GANGS, BULK),
                                teams(),
                                load(seed),
                                MAX_RETURNS));
        served.sort(Comparator.comparingLong(s -> s.arrival().atMillis()));
        return owed(served);
    }

    /**
     * Guards against policies of the deployment that serve work which teams submit within their
     * weights worse than the default policies do.
     */
    @Test
    public void workWithinTheWeightsOfTeamsIsServedNoWorseThanByDefault() {
        List<Served> byDefault = new ArrayList<>();
        List<Served> byDeployed = new ArrayList<>();
        for (int seed = 1; seed <= SEED_COUNT; seed++) {
            byDefault.addAll(replay(SchedulingPolicies.DEFAULT, seed));
            byDeployed.addAll(replay(DEPLOYED, seed));
        }
        String message = "default " + summary(byDefault) + "; deployed " + summary(byDeployed);
        System.out.println(message);
        assertTrue(earned(byDeployed) >= earned(byDefault), message);
    }
}
