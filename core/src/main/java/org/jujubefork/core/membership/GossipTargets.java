package org.jujubefork.core.membership;

import java.util.ArrayList;
import java.util.List;
import org.jujubefork.core.control.State;

/**
 * Whom an entry sends gossip to in a round, and whose rows it relays.
 *
 * <p>Live entries form a ring by name. With base b, the square root of their number rounded up, an
 * entry sends to those 1 to b - 1 places ahead in even rounds, and b to (b - 1) * b places ahead in
 * odd rounds. So each entry is reached over at most two hops, and hears of each other one within
 * four rounds. A row goes the long hop first, so that it arrives once and not over each path.
 * Targets that are left over are drawn at random and get everything that they may lack; among them
 * are addresses of which no entry is known yet.
 *
 * @param ring addresses of live entries by name, this entry's first
 * @param base places that a short hop can cover, plus one; 0 in a round of long hops
 * @param ringTargets targets by their place in the ring
 * @param randomTargets targets drawn at random
 */
record GossipTargets(
        List<String> ring, int base, List<String> ringTargets, List<String> randomTargets) {
    /** Peers that get gossip in one round. */
    static final int FANOUT = 3;

    /** Returns the targets of the round that is being sent. */
    static GossipTargets of(State state, long random) {
        List<String> ring = ring(state);
        int base = (int) Math.ceil(Math.sqrt(ring.size()));
        int stride = isShortHopRound(state) ? 1 : base;
        List<String> ringTargets = new ArrayList<>();
        for (int digit = 1; digit < base && ringTargets.size() < FANOUT; digit++) {
            if (digit * stride < ring.size()) {
                ringTargets.add(ring.get(digit * stride));
            }
        }
        List<String> others = new ArrayList<>(state.membership().peerAddresses());
        others.addAll(ring.subList(1, ring.size()));
        others.removeAll(ringTargets);
        List<String> randomTargets = new ArrayList<>();
        long remaining = random & Long.MAX_VALUE;
        while (!others.isEmpty() && ringTargets.size() + randomTargets.size() < FANOUT) {
            int index = (int) (remaining % others.size());
            remaining /= others.size();
            String address = others.get(index);
            others.removeIf(address::equals);
            randomTargets.add(address);
        }
        return new GossipTargets(
                ring, isShortHopRound(state) ? base : 0, ringTargets, randomTargets);
    }

    private static boolean isShortHopRound(State state) {
        return state.membership().gossip().heartbeat() % 2 == 0;
    }

    /** Returns all targets. */
    List<String> addresses() {
        List<String> all = new ArrayList<>(ringTargets);
        all.addAll(randomTargets);
        return all;
    }

    /**
     * Returns whether the row of the entry at {@code rowAddress} is passed on to {@code target}.
     */
    boolean relaysRow(String rowAddress, String target) {
        if (randomTargets.contains(target)) {
            return true;
        }
        int placesAhead = ring.size() - ring.indexOf(rowAddress);
        return base > 0 && placesAhead % base == 0;
    }

    private static List<String> ring(State state) {
        List<String> wrapped = new ArrayList<>();
        List<String> ring = new ArrayList<>();
        String self = state.self().id().name();
        ring.add(state.self().peerAddress());
        for (var entry : state.membership().members().entrySet()) {
            if (Membership.isAlive(state, entry.getValue())) {
                boolean isAfterSelf = entry.getKey().compareTo(self) > 0;
                (isAfterSelf ? ring : wrapped).add(entry.getValue().row().peerAddress());
            }
        }
        ring.addAll(wrapped);
        return ring;
    }
}
