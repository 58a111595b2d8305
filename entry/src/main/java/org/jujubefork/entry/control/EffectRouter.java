package org.jujubefork.entry.control;

import org.jujubefork.core.effect.Effect;
import org.jujubefork.core.effect.GossipEffect;
import org.jujubefork.core.effect.LogDecision;
import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.core.effect.StoreEffect;
import org.jujubefork.core.effect.WorkerEffect;

/**
 * Passes each effect to the executor for its type.
 *
 * @param gossip executes messages to other entries about membership
 * @param worker executes commands to workers
 * @param request executes answers to callers and forwarded requests
 * @param store executes reads and writes of the store
 * @param decisions logs and counts decisions
 */
public record EffectRouter(
        EffectExecutor<GossipEffect> gossip,
        EffectExecutor<WorkerEffect> worker,
        EffectExecutor<RequestEffect> request,
        EffectExecutor<StoreEffect> store,
        EffectExecutor<LogDecision> decisions)
        implements EffectExecutor<Effect> {
    @Override
    public void execute(Effect effect) {
        switch (effect) {
            case GossipEffect e -> gossip.execute(e);
            case WorkerEffect e -> worker.execute(e);
            case RequestEffect e -> request.execute(e);
            case StoreEffect e -> store.execute(e);
            case LogDecision e -> decisions.execute(e);
        }
    }
}
