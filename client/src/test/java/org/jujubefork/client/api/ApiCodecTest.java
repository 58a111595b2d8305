package org.jujubefork.client.api;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.model.Outcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against messages that change when encoded and decoded, and against invalid requests that
 * are accepted.
 */
public final class ApiCodecTest {
    private static final ResourcesView SIZE = new ResourcesView(100, 64, 1);

    @DataProvider
    public static Object[][] messages() {
        return new Object[][] {
            {new JobRequest("q", "n", 3, Optional.of(SIZE), "{}", Optional.of("k"))},
            {new JobRequest("q", "", 1, Optional.empty(), "", Optional.empty())},
            {
                new JobView(
                        "j1",
                        "t",
                        "q",
                        "batch",
                        JobView.State.RUNNING,
                        new TaskCounts(4, 3, 2, 1),
                        "",
                        List.of(new JobPartView("accra/0", 0, 4, 3, 2, 1)))
            },
            {
                ErrorView.of(ErrorCodes.OVERLOADED, "full", Outcome.NOT_RUN)
                        .withRetryAfter(5)
                        .withChanges(
                                List.of(new ChangeView("p", Optional.empty(), Optional.of("1"))))
                        .withFindings(List.of(new FindingView("error", "f", 1, 2, "$", "m")))
            },
            {new ConfigView(3, "{}", Map.of("accra", "{}"))},
            {new ConfigApply(3, "{}", Map.of())},
            {new ApplyResult(4, ApplyResult.Status.UNCONFIRMED, List.of("a"), List.of("b"))},
            {
                new StatusView(
                        "e1#1",
                        "serving",
                        4,
                        true,
                        new StoreView(true, 7),
                        List.of(new MemberView("e1#1", "accra", "a1", "alive", 4)),
                        List.of(new ShardView("a1/0", "e1#1", "2@e1#1", 8, 8, 1, 2)),
                        List.of(new QueueView("q", "t", "lookup", 1, 20)),
                        List.of(new TeamView("t", SIZE, 0.25, 0.5, SIZE, 1)))
            },
            {new ExplainView("job j1", "queued", 9, List.of("r"), List.of(), "w")},
        };
    }

    @Test(dataProvider = "messages")
    public void messagesRoundTrip(Object message) throws InvalidMessageException {
        byte[] json = ApiCodec.encode(message);
        assertEquals(ApiCodec.decodeRequest(json, message.getClass()), message);
    }

    @Test
    public void encodesComponentNamesAndOmitsAbsentValues() {
        JobRequest job = new JobRequest("q", "n", 1, Optional.empty(), "p", Optional.empty());
        assertEquals(
                new String(ApiCodec.encode(job), StandardCharsets.UTF_8),
                "{\"queue\":\"q\",\"name\":\"n\",\"tasks\":1,\"payload\":\"p\"}");
    }

    @Test
    public void errorsOfInvalidRequestsNameTheField() {
        assertRejected("{\"queue\":\"q\",\"tasks\":0}", "tasks must be at least 1: 0");
        assertRejected("{\"queue\":\"q\"}", "$.tasks");
        assertRejected("{\"tasks\":1}", "queue");
        assertRejected("{\"queue\":\"q\",\"tasks\":1,\"prio\":1}", "prio");
        assertRejected("{\"queue\":\"q\",\"tasks\":1.5}", "$.tasks");
        assertRejected("{\"queue\":\"q\",\"tasks\":1", "not JSON");
        assertRejected("", "");
        assertRejected("null", "null");
    }

    @Test
    public void unknownFieldsInResponsesAreIgnored() throws InvalidMessageException {
        byte[] json =
                "{\"entry\":\"e\",\"state\":\"leaving\",\"openRequests\":0,\"new\":[1]}"
                        .getBytes(StandardCharsets.UTF_8);
        assertEquals(
                ApiCodec.decodeResponse(json, DrainView.class), new DrainView("e", "leaving", 0));
    }

    private static void assertRejected(String json, String expectedText) {
        InvalidMessageException failure =
                expectThrows(
                        InvalidMessageException.class,
                        () ->
                                ApiCodec.decodeRequest(
                                        json.getBytes(StandardCharsets.UTF_8), JobRequest.class));
        assertTrue(failure.getMessage().contains(expectedText), failure.getMessage());
    }
}
