package org.jujubefork.ctl.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.jujubefork.client.api.ErrorCodes;
import org.jujubefork.client.api.ErrorView;
import org.jujubefork.client.api.JobView;
import org.jujubefork.client.api.TaskCounts;
import org.jujubefork.core.model.Outcome;
import org.jujubefork.ctl.command.ExitCode;
import org.jujubefork.ctl.command.SimulatedCell;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against exit codes that report a failed job or request as successful to scripts. */
public final class JujubeRunTest {
    private SimulatedCell cell;

    @BeforeMethod
    public void start() throws IOException {
        cell = SimulatedCell.start("{}");
    }

    @AfterMethod
    public void stop() {
        cell.close();
    }

    private SimulatedCell.Result run(String... args) {
        return cell.run(JujubeRun.program(), args);
    }

    private static JobView job(JobView.State state, String reason) {
        return new JobView(
                "j1", "t", "b", "batch", state, new TaskCounts(2, 2, 1, 1), reason, List.of());
    }

    @Test
    public void requestsPrintTheAnswer() {
        cell.setAnswers(Map.of("POST /v1/queues/q/requests", "{\"a\":1}"));
        SimulatedCell.Result result = run("request", "q", "--body", "{}");
        assertEquals(result.code(), ExitCode.OK, result.err());
        assertEquals(result.out().strip(), "{\"a\":1}");
        assertTrue(
                run("request", "q", "--idempotency-key", "k", "--output", "json")
                        .out()
                        .contains("\"outcome\" : \"done\""));
    }

    @Test
    public void rejectedRequestPrintsOutcomeAndRetryAfter() {
        ErrorView error =
                ErrorView.of(ErrorCodes.OVERLOADED, "full", Outcome.NOT_RUN).withRetryAfter(60_000);
        cell.setAnswers(Map.of("POST /v1/queues/q/requests", error));
        SimulatedCell.Result result = run("request", "q");
        assertEquals(result.code(), ExitCode.FAILED);
        assertTrue(result.err().contains("outcome not-run"), result.err());
        assertTrue(result.err().contains("retry after 60000 ms"), result.err());
    }

    /** A draining entry ends the wait early, while the job is still running. */
    @Test
    public void waitContinuesAfterEarlyAnswer() {
        cell.setAnswers(
                Map.of("GET /v1/jobs/j1/wait?timeoutMillis=2000", job(JobView.State.RUNNING, "")));
        SimulatedCell.Result result = run("wait", "j1", "--wait-seconds", "2");
        assertEquals(result.code(), ExitCode.FAILED);
        assertEquals(cell.receivedCalls().size(), 2, cell.receivedCalls().toString());
    }

    @Test
    public void jobsAreSubmittedQueriedAwaitedAndCancelled() {
        cell.setAnswers(
                Map.of(
                        "POST /v1/jobs", job(JobView.State.QUEUED, ""),
                        "GET /v1/jobs/j1", job(JobView.State.RUNNING, ""),
                        "GET /v1/jobs/j1/wait?timeoutMillis=2000",
                                job(JobView.State.FAILED, "exit 1"),
                        "GET /v1/jobs/j2/wait?timeoutMillis=60000",
                                job(JobView.State.SUCCEEDED, ""),
                        "DELETE /v1/jobs/j1", job(JobView.State.CANCELLED, "")));
        assertEquals(run("submit", "b", "--tasks", "2").out().strip(), "j1");
        assertTrue(run("query", "j1").out().contains("is running"));
        SimulatedCell.Result failed = run("wait", "j1", "--wait-seconds", "2");
        assertEquals(failed.code(), ExitCode.FAILED);
        assertTrue(failed.out().contains("reason: exit 1"), failed.out());
        assertEquals(run("wait", "j2").code(), ExitCode.OK);
        assertEquals(run("cancel", "j1").code(), ExitCode.OK);
        assertEquals(run("submit", "b", "--cpu-millis", "5").code(), ExitCode.USAGE);
        assertEquals(run("submit", "b", "--tasks", "0").code(), ExitCode.USAGE);
    }
}
