package org.jujubefork.entry.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.List;
import java.util.Optional;
import org.jujubefork.client.api.EvacuationsView;
import org.jujubefork.core.workflow.Evacuations;
import org.jujubefork.core.workflow.LeaderRecord;
import org.jujubefork.core.workflow.Leadership;
import org.jujubefork.core.workflow.WorkflowState;
import org.pcollections.HashTreePMap;
import org.testng.annotations.Test;

/** Guards against a view from which operators can't tell whether a zone is empty. */
public final class EvacuationsEndpointTest {
    private static final Evacuations EVACUATIONS =
            new Evacuations(
                    HashTreePMap.singleton("z", 7_000L),
                    HashTreePMap.empty(),
                    true,
                    9_000,
                    0,
                    4_000,
                    false);

    @Test
    public void followerNamesTheLeader() {
        LeaderRecord leader = new LeaderRecord("e1", "10.0.0.1:7420", 3, 44, true);
        WorkflowState state =
                WorkflowState.initial("e0", 1_000)
                        .with(EVACUATIONS)
                        .with(Leadership.NONE.following(leader, 1));
        EvacuationsView view = EvacuationsEndpoint.view(state, 10_000);
        assertFalse(view.leads());
        assertEquals(view.leader(), "10.0.0.1:7420");
        assertEquals(view.zones(), List.of(new EvacuationsView.ZoneView("z", 3_000, 0, 0, 0)));
        assertEquals(view.fresh(), true);
        assertEquals(EvacuationsEndpoint.view(state, 13_001).fresh(), false);
        assertEquals(Optional.of(view.enabled()), Optional.of(true));
    }
}
