package org.jujubefork.core.workflow;

import static org.jujubefork.core.workflow.WaitingFixture.field;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.workflow.WorkflowEffect.LogEvent;
import org.jujubefork.core.workflow.WorkflowEvent.EndedRun;
import org.jujubefork.core.workflow.WorkflowEvent.RunOutcome;
import org.testng.annotations.Test;

/**
 * Guards against a log that does not tell why work waits, and against one that grows with the load.
 */
public final class WaitingStepsLogTest {
    private static final Resources NO_LIMIT = Resources.ZERO;

    private static LogEvent last(WaitingFixture fixture, String event) {
        List<LogEvent> events = fixture.logged(event);
        assertTrue(!events.isEmpty(), "no line " + event);
        return events.get(events.size() - 1);
    }

    /** Returns a leader with a full worker and {@code count} jobs that wait for room there. */
    private static WaitingFixture full(int count) {
        WaitingFixture fixture = WaitingFixture.withoutAdvice(NO_LIMIT, "a");
        fixture.submit("i", LeaderFixture.job(16));
        fixture.advance(200, "a");
        for (int i = 0; i < count; i++) {
            fixture.submit("j" + i, LeaderFixture.job(8));
        }
        return fixture;
    }

    @Test
    public void oneLineASecondHoweverManyStepsWait() {
        WaitingFixture fixture = full(10);
        long since = fixture.leader.now();
        long lastLineAt = -1;
        for (int i = 0; i < 250; i++) {
            int count = fixture.logged("steps-waiting").size();
            fixture.leader.advance(20);
            fixture.answer("a");
            if (fixture.logged("steps-waiting").size() > count) {
                assertEquals(fixture.logged("steps-waiting").size(), count + 1);
                assertTrue(
                        lastLineAt < 0 || fixture.leader.now() - lastLineAt >= 1_000,
                        "two lines within a second");
                lastLineAt = fixture.leader.now();
            }
        }
        int seconds = (int) ((fixture.leader.now() - since) / 1_000);
        int lines = fixture.logged("steps-waiting").size();
        assertTrue(lines >= seconds - 2 && lines <= seconds, lines + " lines in " + seconds + " s");
    }

    @Test
    public void noLineForAStepThatWaitsBriefly() {
        WaitingFixture fixture = full(1);
        fixture.advance(800, "a");
        assertEquals(fixture.logged("steps-waiting"), List.of());
    }

    @Test
    public void lineNamesTheStepThatHasWaitedLongest() {
        WaitingFixture fixture = full(2);
        fixture.advance(2_500, "a");
        LogEvent line = last(fixture, "steps-waiting");
        assertEquals(line.subject(), "j0.0.0");
        assertEquals(field(line, "steps"), "2");
        assertEquals(field(line, "counts"), "no-room:2");
        assertEquals(field(line, "reason"), "no-room");
        assertEquals(field(line, "tasks_waiting"), "1");
        assertEquals(field(line, "with_ticket"), "1");
        assertEquals(field(line, "places_with_ticket"), "0");
        assertTrue(Long.parseLong(field(line, "waited_ms")) > 1_000);
    }

    /**
     * The figures of a step whose tickets were all refused: nobody is left to ask, and the workers
     * are free.
     */
    @Test
    public void lineShowsRefusedWorkersThatAreFree() {
        WaitingFixture fixture = WaitingFixture.withAdvice("a", "b");
        fixture.submit("j", LeaderFixture.job(8));
        fixture.advance(200, "a", "b");
        fixture.answerAdvice(Optional.of(Map.of()));
        fixture.advance(2_000, "a", "b");
        LogEvent line = last(fixture, "steps-waiting");
        assertEquals(field(line, "reason"), "no-ticket");
        assertEquals(field(line, "workers"), "2");
        assertEquals(field(line, "with_ticket"), "0");
        assertEquals(field(line, "refused"), "2");
        assertEquals(field(line, "places_without_ticket"), "2");
        assertEquals(field(line, "request"), "none");
    }

    @Test
    public void lineShowsHowLongARequestIsInFlight() {
        WaitingFixture fixture = WaitingFixture.withAdvice("a");
        fixture.submit("i", LeaderFixture.job(8));
        fixture.advance(1_500, "a");
        LogEvent line = last(fixture, "steps-waiting");
        assertEquals(field(line, "reason"), "advice-in-flight");
        assertEquals(field(line, "request"), "in-flight");
        assertEquals(field(line, "request_advisor"), "e0");
        assertTrue(Long.parseLong(field(line, "request_ms")) >= 900);
    }

    /** Guards against requests of one kind that wait behind others without a trace in the log. */
    @Test
    public void lineShowsHowLongRequestsOfEachPurposeAreQueued() {
        WaitingFixture fixture = WaitingFixture.withAdvice("a");
        fixture.submit("i", LeaderFixture.job(8));
        fixture.submit("j", LeaderFixture.job(8));
        fixture.advance(1_500, "a");
        LogEvent line = last(fixture, "steps-waiting");
        String requests = field(line, "requests");
        assertTrue(requests.matches("first:1/1:1\\d\\d\\dms"), requests);
        assertEquals(field(line, "oldest"), "i.0.0");
        assertEquals(field(line, "oldest_reason"), "advice-in-flight");
    }

    /**
     * Guards against an answer of which the log does not tell whom it named and how long it took.
     */
    @Test
    public void eachAnswerOfTheAdviceServiceIsLogged() {
        WaitingFixture fixture = WaitingFixture.withAdvice("a", "b");
        fixture.submit("i", LeaderFixture.job(8));
        fixture.advance(400, "a", "b");
        fixture.answerAdvice(Optional.of(Map.of("a", "ticket-a")));
        LogEvent line = last(fixture, "advice-answered");
        assertEquals(line.subject(), "i.0.0");
        assertEquals(field(line, "purpose"), "FIRST");
        assertEquals(field(line, "workers"), "2");
        assertEquals(field(line, "granted"), "1");
        assertTrue(Long.parseLong(field(line, "sent_ms_ago")) >= 400);
    }

    @Test
    public void lineShowsARenewalThatIsNotAnswered() {
        WaitingFixture fixture = WaitingFixture.awaitingRenewal();
        fixture.advance(1_500, "a");
        LogEvent line = last(fixture, "steps-waiting");
        assertEquals(field(line, "reason"), "ticket-renewal");
        assertEquals(field(line, "tasks_assigned"), "1");
        assertEquals(field(line, "renewal"), "in-flight");
    }

    @Test
    public void waitBeginsAnewWhenATaskStarts() {
        WaitingFixture fixture = WaitingFixture.withoutAdvice(NO_LIMIT, "a");
        fixture.submit("j", LeaderFixture.job(3, 16, false));
        fixture.advance(900, "a");
        TaskKey first = new TaskKey("j", 0, 0, 0);
        fixture.leader.advance(600);
        fixture.leader.answerLeaseRenewal(
                "a", List.of(), List.of(new EndedRun(1, first, 1, RunOutcome.DONE, "")));
        fixture.leader.storeAll();
        fixture.advance(400, "a");
        assertEquals(fixture.leader.startedWorkers().size(), 2);
        WaitingSteps.Wait wait =
                fixture.leader.state().waitingSteps().steps().get(new StepKey("j", 0, 0));
        assertTrue(fixture.leader.now() - wait.since() <= 500, "waits since " + wait.since());
    }

    /** Guards against a wait that seems short because capacity is allocated again and again. */
    @Test
    public void waitGoesOnWhileRenewalsFail() {
        WaitingFixture fixture = WaitingFixture.awaitingRenewal();
        for (int i = 0; i < 5; i++) {
            fixture.advance(400, "a");
            fixture.answerAdvice(Optional.empty());
        }
        fixture.advance(200, "a");
        WaitingSteps.Wait wait =
                fixture.leader.state().waitingSteps().steps().get(new StepKey("j", 0, 0));
        assertTrue(fixture.leader.now() - wait.since() >= 2_000, "waits since " + wait.since());
        LogEvent failure = last(fixture, "advice-failed");
        assertEquals(field(failure, "purpose"), "RENEWAL");
        assertEquals(field(failure, "advisor"), "e0");
        assertTrue(Long.parseLong(field(failure, "sent_ms_ago")) >= 200);
    }

    @Test
    public void withdrawnTicketsAreLogged() {
        WaitingFixture fixture = WaitingFixture.awaitingRenewal();
        assertEquals(fixture.logged("tickets-withdrawn"), List.of());
        fixture.answerAdvice(Optional.of(Map.of()));
        LogEvent line = last(fixture, "tickets-withdrawn");
        assertEquals(line.subject(), "j.0.0");
        assertEquals(field(line, "workers"), "a");
        assertEquals(field(line, "left"), "0");
    }

    @Test
    public void recoveryIsLoggedOnceInATerm() {
        WaitingFixture fixture = WaitingFixture.takeover(NO_LIMIT, List.of(), "a", "b");
        fixture.leader.listWorkers("a", "b");
        fixture.advance(7_000, "a");
        assertEquals(fixture.logged("recovered"), List.of());
        fixture.advance(4_000, "a");
        assertEquals(fixture.logged("recovered").size(), 1);
        LogEvent line = last(fixture, "recovered");
        assertEquals(field(line, "unreached"), "1");
        assertTrue(Long.parseLong(field(line, "leads_ms")) >= 7_000);
    }
}
