package org.jujubefork.ctl.caller;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jujubefork.client.api.ApiClient;
import org.jujubefork.client.api.ApiException;
import org.jujubefork.client.api.InvalidMessageException;
import org.jujubefork.client.api.JobRequest;
import org.jujubefork.client.api.JobView;
import org.jujubefork.client.api.NotReachableException;
import org.jujubefork.client.api.OutcomeNames;
import org.jujubefork.client.api.RequestResult;
import org.jujubefork.client.api.ResourcesView;
import org.jujubefork.ctl.command.CommandException;
import org.jujubefork.ctl.command.CommandSpec;
import org.jujubefork.ctl.command.Console;
import org.jujubefork.ctl.command.ExitCode;
import org.jujubefork.ctl.command.Invocation;
import org.jujubefork.ctl.command.OptionSpecs;

/** The commands of {@code jujube-run}: sends requests and manages jobs. */
final class RunCommands {
    private static final String BODY = "body";
    private static final String BODY_FILE = "body-file";
    private static final String IDEMPOTENCY_KEY = "idempotency-key";
    private static final String TASKS = "tasks";
    private static final String NAME = "name";
    private static final String PAYLOAD = "payload";
    private static final String CPU_MILLIS = "cpu-millis";
    private static final String MEMORY_MB = "memory-mb";
    private static final String ACCELERATORS = "accelerators";
    private static final String WAIT_SECONDS = "wait-seconds";
    private static final long DEFAULT_WAIT_SECONDS = 60;
    private static final long MAX_WAIT_SECONDS = 86_400;

    /** Delay before the wait is repeated, after a draining entry has ended it early. */
    private static final Duration WAIT_RETRY_DELAY = Duration.ofMillis(500);

    private static final long MAX_TASK_COUNT = 1_000_000;
    private static final long MAX_RESOURCE_AMOUNT = 10_000_000_000L;

    private RunCommands() {}

    static List<CommandSpec> specs() {
        return List.of(
                CommandSpec.of(
                        "request",
                        List.of("QUEUE"),
                        "Sends a request and prints its answer.",
                        RunCommands::sendRequest,
                        OptionSpecs.value(BODY, "JSON", "the input (default: {})"),
                        OptionSpecs.value(BODY_FILE, "FILE", "file with the input"),
                        OptionSpecs.value(
                                IDEMPOTENCY_KEY,
                                "KEY",
                                "runs at most once per key; required by queues"
                                        + " of the kind command")),
                CommandSpec.of(
                        "submit",
                        List.of("QUEUE"),
                        "Submits a job and prints its id.",
                        RunCommands::submitJob,
                        OptionSpecs.value(TASKS, "N", "number of tasks or replicas (default: 1)"),
                        OptionSpecs.value(NAME, "NAME", "a display name"),
                        OptionSpecs.value(PAYLOAD, "JSON", "the input of each task (default: {})"),
                        OptionSpecs.value(CPU_MILLIS, "N", "thousandths of a core per task"),
                        OptionSpecs.value(MEMORY_MB, "N", "memory per task in MiB"),
                        OptionSpecs.value(ACCELERATORS, "N", "accelerators per task (default: 0)"),
                        OptionSpecs.value(
                                IDEMPOTENCY_KEY,
                                "KEY",
                                "a second submission with this key returns the first" + " job")),
                CommandSpec.of(
                        "query",
                        List.of("JOB"),
                        "Shows a job.",
                        i ->
                                i.fetchAndPrint(
                                        c -> c.job(i.arguments().getFirst()),
                                        RunCommands::printJob)),
                CommandSpec.of(
                        "wait",
                        List.of("JOB"),
                        "Waits for the end of a job. Exits with 0 only if it succeeded.",
                        RunCommands::awaitJob,
                        OptionSpecs.value(
                                WAIT_SECONDS, "N", "maximum wait in seconds (default: 60)")),
                CommandSpec.of(
                        "cancel",
                        List.of("JOB"),
                        "Cancels a job.",
                        i ->
                                i.fetchAndPrint(
                                        c -> c.cancel(i.arguments().getFirst()),
                                        RunCommands::printJob)));
    }

    private static ExitCode sendRequest(Invocation invocation)
            throws CommandException, ApiException, NotReachableException, InterruptedException {
        String queue = invocation.arguments().getFirst();
        String body = requestBody(invocation);
        Optional<String> key = invocation.option(IDEMPOTENCY_KEY);
        RequestResult answer;
        try (ApiClient client = invocation.connect()) {
            answer =
                    key.isPresent()
                            ? client.command(queue, body, key.get())
                            : client.lookup(queue, body);
        }
        Console console = invocation.console();
        String outcome = OutcomeNames.of(answer.outcome());
        console.print(new RequestOutput(outcome, answer.text()), () -> console.line(answer.text()));
        return ExitCode.OK;
    }

    /**
     * The JSON output of {@code request}.
     *
     * @param outcome the outcome's name in the API, such as {@code done}
     * @param body the body of the response
     */
    private record RequestOutput(String outcome, String body) {}

    private static String requestBody(Invocation invocation) throws CommandException {
        Optional<String> file = invocation.option(BODY_FILE);
        if (file.isPresent() && invocation.hasOption(BODY)) {
            throw CommandException.usage("give either --body or --body-file");
        }
        return file.isPresent()
                ? Invocation.readFile(Path.of(file.get()))
                : invocation.option(BODY).orElse("{}");
    }

    private static ExitCode submitJob(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        JobRequest job =
                new JobRequest(
                        invocation.arguments().getFirst(),
                        invocation.option(NAME).orElse(""),
                        Math.toIntExact(
                                invocation.integerOption(TASKS, 1, MAX_TASK_COUNT).orElse(1L)),
                        resourcesPerTask(invocation),
                        invocation.option(PAYLOAD).orElse("{}"),
                        invocation.option(IDEMPOTENCY_KEY));
        return invocation.fetchAndPrint(
                client -> client.submit(job), (console, view) -> console.line(view.id()));
    }

    private static Optional<ResourcesView> resourcesPerTask(Invocation invocation)
            throws CommandException {
        Optional<Long> cpu = invocation.integerOption(CPU_MILLIS, 1, MAX_RESOURCE_AMOUNT);
        Optional<Long> memory = invocation.integerOption(MEMORY_MB, 1, MAX_RESOURCE_AMOUNT);
        Optional<Long> accelerators =
                invocation.integerOption(ACCELERATORS, 0, MAX_RESOURCE_AMOUNT);
        if (cpu.isEmpty() && memory.isEmpty() && accelerators.isEmpty()) {
            return Optional.empty();
        }
        if (cpu.isEmpty() || memory.isEmpty()) {
            throw CommandException.usage("a size needs both --cpu-millis and --memory-mb");
        }
        return Optional.of(new ResourcesView(cpu.get(), memory.get(), accelerators.orElse(0L)));
    }

    private static ExitCode awaitJob(Invocation invocation)
            throws CommandException,
                    ApiException,
                    NotReachableException,
                    InvalidMessageException,
                    InterruptedException {
        Duration timeout =
                Duration.ofSeconds(
                        invocation
                                .integerOption(WAIT_SECONDS, 1, MAX_WAIT_SECONDS)
                                .orElse(DEFAULT_WAIT_SECONDS));
        long deadline = System.nanoTime() + timeout.toNanos();
        JobView job;
        try (ApiClient client = invocation.connect()) {
            job = client.await(invocation.arguments().getFirst(), timeout);
            Duration remaining = Duration.ofNanos(deadline - System.nanoTime());
            while (!job.state().isFinal() && remaining.compareTo(WAIT_RETRY_DELAY) > 0) {
                Thread.sleep(WAIT_RETRY_DELAY);
                job = client.await(job.id(), remaining.minus(WAIT_RETRY_DELAY));
                remaining = Duration.ofNanos(deadline - System.nanoTime());
            }
        }
        JobView lastView = job;
        Console console = invocation.console();
        console.print(lastView, () -> printJob(console, lastView));
        return job.state() == JobView.State.SUCCEEDED ? ExitCode.OK : ExitCode.FAILED;
    }

    private static void printJob(Console console, JobView job) {
        console.line(
                String.format(
                        "job %s of team %s on queue %s (%s) is %s",
                        job.id(), job.team(), job.queue(), job.kind(), job.state().label()));
        console.line(
                String.format(
                        "tasks %d, started %d, succeeded %d, failed %d",
                        job.tasks().total(),
                        job.tasks().started(),
                        job.tasks().succeeded(),
                        job.tasks().failed()));
        if (!job.reason().isEmpty()) {
            console.line("reason: " + job.reason());
        }
    }
}
