package org.jujubefork.entry;

import java.util.Locale;
import java.util.function.Supplier;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Member;
import org.jujubefork.entry.peer.TrafficMeter;

/** Adds the distance of the receiver to the bytes sent to other entries. */
final class PeerTraffic {
    private static final String UNKNOWN = "unknown";

    private PeerTraffic() {}

    /** Takes bytes by distance (the names of {@code Distance}, or unknown) and purpose. */
    @FunctionalInterface
    interface Counter {
        void count(String distance, String purpose, long bytes);
    }

    /** Returns a meter that finds the receiver's location in the published state. */
    static TrafficMeter of(Supplier<State> state, Counter counter) {
        return (peerAddress, purpose, bytes) ->
                counter.count(distance(state.get(), peerAddress), purpose, bytes);
    }

    private static String distance(State state, String peerAddress) {
        for (Member member : state.membership().members().values()) {
            if (member.row().peerAddress().equals(peerAddress)) {
                return state.self()
                        .location()
                        .distanceTo(member.row().location())
                        .name()
                        .toLowerCase(Locale.ROOT)
                        .replace('_', '-');
            }
        }
        return UNKNOWN;
    }
}
