package org.jujubefork.core.workflow;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jujubefork.core.workflow.AdviceRequests.AdviceRequest;
import org.jujubefork.core.workflow.AdviceRequests.InFlightRequest;

/**
 * What the entries are asking the advice service while calls are handed out. Lives only for one
 * round, on the control thread.
 */
final class AdvisorLoads {
    /** Part of the entries that long calls may use, as a fraction of two numbers. */
    private static final int LONG_NUMERATOR = 1;

    private static final int LONG_DENOMINATOR = 2;

    /** The calls of one entry. */
    private record Load(int calls, boolean hasLong, long millis) {
        static final Load NONE = new Load(0, false, 0);

        Load plus(AdviceRequest question) {
            return new Load(
                    calls + 1, hasLong || question.isLong(), millis + question.costMillis());
        }

        boolean canTake(AdviceRequest question) {
            return question.isLong()
                    ? calls == 0
                    : !hasLong && calls < AdviceRequests.SHORT_CALLS_AT_ONCE;
        }
    }

    private final Map<String, Load> loads = new TreeMap<>();
    private int longCalls;

    private AdvisorLoads() {}

    static AdvisorLoads of(AdviceRequests desk) {
        AdvisorLoads result = new AdvisorLoads();
        desk.advisors().forEach(a -> result.loads.put(a, Load.NONE));
        for (InFlightRequest call : desk.open().values()) {
            result.longCalls += call.question().isLong() ? 1 : 0;
            result.loads.computeIfPresent(call.advisor(), (a, l) -> l.plus(call.question()));
        }
        return result;
    }

    /** Returns whether no entry can take any call. */
    boolean isFull() {
        return loads.values().stream()
                .allMatch(l -> l.hasLong() || l.calls() >= AdviceRequests.SHORT_CALLS_AT_ONCE);
    }

    /** Hands {@code question} to the least loaded entry that can take it. */
    Optional<String> take(AdviceRequest question) {
        int most = Math.max(1, loads.size() * LONG_NUMERATOR / LONG_DENOMINATOR);
        if (question.isLong() && longCalls >= most) {
            return Optional.empty();
        }
        Optional<String> advisor =
                loads.keySet().stream()
                        .filter(a -> loads.get(a).canTake(question))
                        .min(Comparator.comparingLong(a -> loads.get(a).millis()));
        advisor.ifPresent(
                a -> {
                    loads.compute(a, (name, l) -> l.plus(question));
                    longCalls += question.isLong() ? 1 : 0;
                });
        return advisor;
    }
}
