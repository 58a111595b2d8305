package org.jujubefork.entry;

import org.jujubefork.core.effect.RequestEffect;
import org.jujubefork.entry.answers.AnswerChannel;
import org.jujubefork.entry.answers.RequestRegistry;
import org.jujubefork.entry.control.EffectExecutor;
import org.jujubefork.entry.peer.PeerExecutor;
import org.jujubefork.entry.platform.StoreExecutor;

/** Executes request effects: answers local callers and forwards requests to other entries. */
final class RequestExecutor implements EffectExecutor<RequestEffect> {
    private final RequestRegistry registry;
    private final PeerExecutor peers;
    private final StoreExecutor store;

    RequestExecutor(RequestRegistry registry, PeerExecutor peers, StoreExecutor store) {
        this.registry = registry;
        this.peers = peers;
        this.store = store;
    }

    @Override
    public void execute(RequestEffect effect) {
        switch (effect) {
            case RequestEffect.Forward e -> peers.forward(e);
            case RequestEffect.CancelForward e -> peers.cancel(e);
            case RequestEffect.AnswerForward e -> peers.answer(e);
            case RequestEffect.ReleaseAnswer e ->
                    registry.channel(e.request()).ifPresent(AnswerChannel::release);
            case RequestEffect.ResetAnswer e ->
                    registry.channel(e.request()).ifPresent(AnswerChannel::reset);
            case RequestEffect.Refuse e ->
                    registry.channel(e.request()).ifPresent(c -> c.refuse(e.result()));
            case RequestEffect.ReplayAnswer e -> store.replay(e.request(), e.claimKey());
            case RequestEffect.AcceptJob e ->
                    registry.channel(e.request()).ifPresent(c -> c.acceptJob(e.job().value()));
        }
    }
}
