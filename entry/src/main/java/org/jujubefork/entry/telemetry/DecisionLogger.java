package org.jujubefork.entry.telemetry;

import java.util.Locale;
import org.jboss.logging.Logger;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.entry.control.EffectExecutor;

/** Logs each scheduling decision as one line of key=value pairs and counts it in the metrics. */
public final class DecisionLogger implements EffectExecutor<LogDecision> {
    private static final Logger log = Logger.getLogger("org.jujubefork.decision");

    private final DaemonMetrics metrics;

    /** Creates a logger that also counts each decision in {@code metrics}. */
    public DecisionLogger(DaemonMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void execute(LogDecision decision) {
        metrics.countDecision(decision);
        if (log.isInfoEnabled()) {
            log.info(format(decision));
        }
    }

    /** Returns the log line for {@code decision}, without a line break. */
    static String format(LogDecision decision) {
        StringBuilder line = new StringBuilder(160);
        line.append("event=")
                .append(decision.kind().name().toLowerCase(Locale.ROOT).replace('_', '-'));
        LogFields.append(line, "subject", decision.subject());
        decision.team().ifPresent(team -> LogFields.append(line, "team", team.value()));
        LogFields.append(line, "choice", decision.choice());
        LogFields.append(line, "reason", decision.reason());
        LogFields.append(line, "alternatives", Integer.toString(decision.alternatives()));
        LogFields.append(line, "waited_ms", Long.toString(decision.waitedMillis()));
        return line.toString();
    }
}
