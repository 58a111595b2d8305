package org.jujubefork.core.workflow;

import java.util.List;
import java.util.Map;

/**
 * The scheduling policies of an entry. The settings select them by name, and they stay the same as
 * long as the process runs.
 *
 * @param order the order in which waiting steps are served
 * @param share whether a job counts as within the share of its team
 * @param durations how long a task is expected to run
 * @param learning what is learned from the duration of a run
 * @param forecast which capacity is expected to become free when
 * @param retry when a rejected caller may return
 * @param names the names by which the policies were selected
 */
public record SchedulingPolicies(
        OrderPolicy order,
        TeamShare share,
        DurationModel durations,
        DurationLearning learning,
        ForecastModel forecast,
        RetryDelay retry,
        Names names) {
    /**
     * The names of the selected policies, as they appear in log events and metrics.
     *
     * @param order the name of the order
     * @param share the name of the share
     * @param durations the name of the duration model
     * @param retry the name of the retry delay
     */
    public record Names(String order, String share, String durations, String retry) {}

    /** The name of the policy that is in force if the settings select no order. */
    public static final String DEFAULT_ORDER = "acceptance";

    /** The name of the policy that is in force if the settings select no share. */
    public static final String DEFAULT_SHARE = "jobs";

    /** The name of the policy that is in force if the settings select no durations. */
    public static final String DEFAULT_DURATIONS = "declared";

    /** The name of the policy that is in force if the settings select no retry delay. */
    public static final String DEFAULT_RETRY = "uniform";

    private static final Map<String, OrderPolicy> ORDERS =
            Map.of(DEFAULT_ORDER, OrderPolicy.ACCEPTANCE, "delay-cost", OrderPolicy.DELAY_COST);
    private static final Map<String, TeamShare> SHARES =
            Map.of(
                    DEFAULT_SHARE,
                    (state, job) -> job.acceptance().withinShare(),
                    "rate",
                    new RateShare(),
                    "work",
                    new WorkShare());
    private static final String LEARNED_DURATIONS = "learned";

    private static final Map<String, DurationModel> DURATIONS =
            Map.of(
                    DEFAULT_DURATIONS,
                    (learned, queue, estimateMillis, elapsedMillis) ->
                            estimateMillis - elapsedMillis,
                    LEARNED_DURATIONS,
                    LearnedDurations::remainingMillis);

    private static final Map<String, DurationLearning> LEARNING =
            Map.of(
                    DEFAULT_DURATIONS,
                    (learned, queue, estimateMillis, actualMillis) -> learned,
                    LEARNED_DURATIONS,
                    LearnedDurations::with);

    private static final Map<String, ForecastModel> FORECASTS =
            Map.of(
                    DEFAULT_DURATIONS,
                    (state, remainder) -> RoomForecast.NONE,
                    LEARNED_DURATIONS,
                    RoomForecast::of);

    private static final Map<String, RetryDelay> RETRIES =
            Map.of(DEFAULT_RETRY, RetryDelay::uniform, "spread", SpreadRetry::retryAfterMillis);

    /** Returns the names of the orders, sorted. */
    public static List<String> orders() {
        return names(ORDERS);
    }

    /** Returns the names of the shares, sorted. */
    public static List<String> shares() {
        return names(SHARES);
    }

    /** Returns the names of the duration models, sorted. */
    public static List<String> durationModels() {
        return names(DURATIONS);
    }

    /** Returns the names of the retry delays, sorted. */
    public static List<String> retryDelays() {
        return names(RETRIES);
    }

    private static List<String> names(Map<String, ?> policies) {
        return policies.keySet().stream().sorted().toList();
    }

    /** The policies of an entry whose settings select none. */
    public static final SchedulingPolicies DEFAULT =
            named(DEFAULT_ORDER, DEFAULT_SHARE, DEFAULT_DURATIONS, DEFAULT_RETRY);

    /**
     * Returns the policies with the given names.
     *
     * @throws IllegalArgumentException if there is no policy of one of the names
     */
    public static SchedulingPolicies named(
            String order, String share, String durations, String retry) {
        return new SchedulingPolicies(
                policy(ORDERS, order),
                policy(SHARES, share),
                policy(DURATIONS, durations),
                policy(LEARNING, durations),
                policy(FORECASTS, durations),
                policy(RETRIES, retry),
                new Names(order, share, durations, retry));
    }

    private static <T> T policy(Map<String, T> policies, String name) {
        T policy = policies.get(name);
        if (policy == null) {
            throw new IllegalArgumentException(
                    "unknown policy " + name + ", known are " + policies.keySet());
        }
        return policy;
    }
}
