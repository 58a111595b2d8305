package org.jujubefork.core.membership;

import java.util.ArrayList;
import java.util.List;
import org.jujubefork.core.control.State;

/**
 * The peers to which an entry sends gossip in one round, and the rows that it relays to them.
 *
 * <p>Live entries form a ring ordered by name. Let b be the square root of their number, rounded
 * up. In even rounds, an entry sends to the entries 1, 2, ..., b - 1 places ahead (short hops); in
 * odd rounds, to those b, 2b, ..., (b - 1) * b places ahead (long hops). While b - 1 is at most
 * {@link #FANOUT}, each entry is at most two hops away from any other, and its row reaches all
 * others within four rounds. A row is relayed over a long hop first and then over a short hop, so
 * that it arrives over only one of the possible paths. The remaining targets up to {@link #FANOUT}
 * are chosen at random and get every row that they may lack; random targets include addresses at
 * which no entry is known yet.
 *
 * @param ring peer addresses of the live entries in ring order, starting with this entry
 * @param base the number b defined above in a round of short hops; 0 in a round of long hops
 * @param ringTargets addresses of the targets chosen by their place in the ring
 * @param randomTargets addresses of the targets chosen at random
 */
record GossipTargets(
        List<String> ring, int base, List<String> ringTargets, List<String> randomTargets) {
    /** Maximum number of targets in one round. */
    static final int FANOUT = 3;

    /** Returns the targets of the current round; {@code random} selects the random targets. */
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

    /** Returns the addresses of all targets. */
    List<String> addresses() {
        List<String> all = new ArrayList<>(ringTargets);
        all.addAll(randomTargets);
        return all;
    }

    /** Returns whether the row of the entry at {@code origin} is relayed to {@code target}. */
    boolean relaysRow(String origin, String target) {
        if (randomTargets.contains(target)) {
            return true;
        }
        int placesFromOrigin = ring.size() - ring.indexOf(origin);
        return base > 0 && placesFromOrigin % base == 0;
    }

    private static List<String> ring(State state) {
        List<String> wrapped = new ArrayList<>();
        List<String> ring = new ArrayList<>();
        String self = state.self().id().name();
        ring.add(state.self().peerAddress());
        for (var nameAndMember : state.membership().members().entrySet()) {
            if (Membership.isAlive(state, nameAndMember.getValue())) {
                boolean isAfterSelf = nameAndMember.getKey().compareTo(self) > 0;
                (isAfterSelf ? ring : wrapped).add(nameAndMember.getValue().row().peerAddress());
            }
        }
        ring.addAll(wrapped);
        return ring;
    }
}
