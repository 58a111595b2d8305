package org.jujubefork.entry;

import java.util.Locale;
import java.util.function.Supplier;
import org.jujubefork.core.control.State;
import org.jujubefork.core.membership.Member;
import org.jujubefork.entry.peer.TrafficMeter;

/** Labels the bytes sent to other entries with the network distance of the receiver. */
final class PeerTraffic {
    private static final String UNKNOWN_DISTANCE = "unknown";

    private PeerTraffic() {}

    /**
     * Counts sent bytes. The distance is the lower-case name of the receiver's distance class, or
     * {@code unknown} if the receiver is not a member.
     */
    @FunctionalInterface
    interface Counter {
        void count(String distance, String purpose, long bytes);
    }

    /** Returns a meter that looks up the location of the receiver in the published state. */
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
        return UNKNOWN_DISTANCE;
    }
}
