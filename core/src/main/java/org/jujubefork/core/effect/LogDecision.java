package org.jujubefork.core.effect;

import java.util.Optional;
import org.jujubefork.core.model.TeamId;

/**
 * Write a log line about a decision and count it.
 *
 * @param kind what was decided
 * @param subject the request, task, shard or worker that the decision is about
 * @param team the team concerned, if any
 * @param choice what was chosen, empty if nothing was
 * @param reason why
 * @param alternatives how many alternatives there were
 * @param waitedMillis how long the subject had waited, in milliseconds; 0 where that has no meaning
 */
public record LogDecision(
        DecisionKind kind,
        String subject,
        Optional<TeamId> team,
        String choice,
        String reason,
        int alternatives,
        long waitedMillis)
        implements Effect {}
