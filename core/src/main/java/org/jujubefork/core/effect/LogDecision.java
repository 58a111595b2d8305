package org.jujubefork.core.effect;

import java.util.Optional;
import org.jujubefork.core.model.TeamId;

/**
 * Logs a decision and increments its counter.
 *
 * @param kind the kind of decision
 * @param subject identifier of the request, task, shard or worker that the decision concerns
 * @param team the team concerned; empty if the decision concerns no particular team
 * @param choice the chosen alternative; empty if none was chosen
 * @param reason reason for the decision
 * @param alternatives number of alternatives considered
 * @param waitedMillis how long the subject had waited, in milliseconds; 0 if not applicable
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
