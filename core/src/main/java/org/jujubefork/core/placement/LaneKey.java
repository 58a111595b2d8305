package org.jujubefork.core.placement;

import java.util.Comparator;
import org.jujubefork.core.model.TeamId;

/**
 * Identifies the queue of one team in one priority class.
 *
 * @param lane the priority class
 * @param team the team
 */
public record LaneKey(Lane lane, TeamId team) implements Comparable<LaneKey> {
    private static final Comparator<LaneKey> ORDER =
            Comparator.comparing(LaneKey::lane).thenComparing(LaneKey::team);

    @Override
    public int compareTo(LaneKey other) {
        return ORDER.compare(this, other);
    }
}
