package org.jujubefork.standins.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Guards the rules of the store apart from HTTP, timers and threads. */
public final class StoreTransitionsTest {
    private static final long SECOND = 1_000_000_000L;

    /** Random commands against a plain map of revisions; replaying the changes gives the values. */
    @Test
    public void randomCommandsAgreeWithAModel() {
        for (long seed = 1; seed <= 20; seed++) {
            checkRandomRun(seed);
        }
    }

    private static void checkRandomRun(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        StoreTransitions transitions = new StoreTransitions(50, Long.MAX_VALUE);
        StoreState state = StoreState.empty();
        Map<String, Long> replayed = new HashMap<>();
        String what = "seed " + seed;
        long now = 0;
        for (int i = 0; i < 2_000; i++) {
            now += random.nextLong(SECOND);
            StoreCommand command = command(random);
            StoreState before = transitions.apply(state, new StoreCommand.Expire(), now).state();
            StoreTransitions.Step step = transitions.apply(state, command, now);
            checkCondition(before, command, step.outcome(), what);
            long revision = state.revision();
            for (StoredChange change : step.changes()) {
                revision++;
                assertEquals(change.revision(), revision, what + ": gap in the revisions");
                if (change.value().isPresent()) {
                    replayed.put(change.key(), change.revision());
                } else {
                    replayed.remove(change.key());
                }
            }
            state = step.state();
            assertEquals(state.revision(), revision, what);
            Map<String, Long> stored = new HashMap<>();
            state.values().forEach((k, v) -> stored.put(k, v.revision()));
            assertEquals(stored, replayed, what);
            assertTrue(state.history().size() <= 50, what);
        }
    }

    private static void checkCondition(
            StoreState before, StoreCommand command, StoreOutcome outcome, String what) {
        if (command instanceof StoreCommand.Put put && put.ifRevision().isPresent()) {
            boolean matches = put.ifRevision().getAsLong() == before.revisionOf(put.key());
            assertEquals(!(outcome instanceof StoreOutcome.Conflict), matches, what);
        }
    }

    private static StoreCommand command(SplittableRandom random) {
        String key = "k" + random.nextInt(8);
        OptionalLong ifRevision =
                random.nextBoolean() ? OptionalLong.empty() : OptionalLong.of(random.nextInt(3));
        String lease = random.nextInt(3) == 0 ? "lease-" + (1 + random.nextInt(40)) : "";
        return switch (random.nextInt(6)) {
            case 0 -> new StoreCommand.Delete(key, ifRevision);
            case 1 -> new StoreCommand.Grant(1 + random.nextLong(20 * SECOND));
            case 2 -> new StoreCommand.KeepAlive("lease-" + (1 + random.nextInt(40)));
            default -> new StoreCommand.Put(key, new byte[0], ifRevision, lease);
        };
    }

    @Test
    public void historyIsLimitedByTheSizeOfItsValues() {
        StoreTransitions transitions = new StoreTransitions(100, 25);
        StoreState state = StoreState.empty();
        for (int i = 0; i < 5; i++) {
            StoreCommand put = new StoreCommand.Put("k", new byte[10], OptionalLong.empty(), "");
            state = transitions.apply(state, put, 0).state();
        }
        assertEquals(state.history().size(), 2);
        assertEquals(state.historyBytes(), 20);
        assertEquals(state.trimmedThrough(), 3);
    }

    @Test
    public void keyWrittenWithoutItsLeaseStays() {
        StoreTransitions transitions = new StoreTransitions(100, 1_000);
        StoreState state =
                transitions.apply(StoreState.empty(), new StoreCommand.Grant(SECOND), 0).state();
        OptionalLong any = OptionalLong.empty();
        state =
                transitions
                        .apply(state, new StoreCommand.Put("k", new byte[0], any, "lease-1"), 1)
                        .state();
        state =
                transitions
                        .apply(state, new StoreCommand.Put("k", new byte[0], any, ""), 2)
                        .state();
        state = transitions.apply(state, new StoreCommand.Expire(), 2 * SECOND).state();
        assertEquals(state.revisionOf("k"), 2);
        assertTrue(state.leases().isEmpty());
    }

    @Test
    public void bucketAllowsItsBurstAndRefills() {
        TokenBucket bucket = TokenBucket.full(2, 0).taken().taken();
        assertEquals(bucket.refilled(SECOND / 4).allows(), false);
        assertEquals(bucket.refilled(SECOND / 2).allows(), true);
        assertEquals(bucket.refilled(100 * SECOND).tokens(), 2.0);
    }
}
