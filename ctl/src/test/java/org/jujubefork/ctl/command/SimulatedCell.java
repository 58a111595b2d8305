package org.jujubefork.ctl.command;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.jujubefork.client.api.ApiCodec;
import org.jujubefork.client.api.ApplyResult;
import org.jujubefork.client.api.ChangeView;
import org.jujubefork.client.api.ConfigApply;
import org.jujubefork.client.api.ConfigView;
import org.jujubefork.client.api.ErrorCodes;
import org.jujubefork.client.api.ErrorView;
import org.jujubefork.client.api.InvalidMessageException;
import org.jujubefork.core.model.Outcome;

/**
 * An HTTP server that stands in for an entry. It updates a configuration by compare-and-swap and
 * gives preset answers on all other paths.
 */
public final class SimulatedCell implements AutoCloseable {
    /**
     * The result of a program run.
     *
     * @param code the exit code
     * @param out the standard output
     * @param err the error output
     */
    public record Result(ExitCode code, String out, String err) {}

    private final HttpServer server;
    private final List<String> calls = new CopyOnWriteArrayList<>();
    private final AtomicInteger remainingConflicts = new AtomicInteger();
    private volatile ConfigView configuration;
    private volatile Map<String, Object> answers = Map.of();
    private volatile ApplyResult.Status applyStatus = ApplyResult.Status.ACCEPTED;

    private SimulatedCell(ConfigView configuration) throws IOException {
        this.configuration = configuration;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::handle);
        server.start();
    }

    /** Starts a server whose configuration is {@code base}, with version 1 and no overlays. */
    public static SimulatedCell start(String base) throws IOException {
        return new SimulatedCell(new ConfigView(1, base, Map.of()));
    }

    /**
     * Sets the answers by {@code METHOD /path}. An {@link ErrorView} is sent with status 429, a
     * string as it is, any other object as JSON. Paths without an answer give status 404.
     */
    public void setAnswers(Map<String, Object> newAnswers) {
        answers = Map.copyOf(newAnswers);
    }

    /** Rejects the next {@code count} changes with a version conflict. */
    public void rejectNextChanges(int count) {
        remainingConflicts.set(count);
    }

    /** Sets the status in the answers to configuration changes. */
    public void setApplyStatus(ApplyResult.Status newStatus) {
        applyStatus = newStatus;
    }

    public ConfigView configuration() {
        return configuration;
    }

    public List<String> receivedCalls() {
        return List.copyOf(calls);
    }

    public String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Runs {@code program} with this server as its only entry. */
    public Result run(Program program, String... args) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        Console console =
                Console.of(new PrintWriter(out), new PrintWriter(err), Console.Format.TEXT);
        Map<String, String> environment =
                Map.of("JUJUBE_ENTRIES", address(), "JUJUBE_KEY", "operator-key");
        ExitCode code = program.run(args, console, environment, new Random(7));
        return new Result(code, out.toString(), err.toString());
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String call = exchange.getRequestMethod() + " " + exchange.getRequestURI();
        calls.add(call);
        if (call.equals("GET /v1/admin/config")) {
            reply(exchange, 200, configuration);
        } else if (call.equals("PUT /v1/admin/config")) {
            apply(exchange, body);
        } else if (answers.get(call) instanceof ErrorView error) {
            reply(exchange, 429, error);
        } else if (answers.containsKey(call)) {
            reply(exchange, 200, answers.get(call));
        } else {
            reply(exchange, 404, ErrorView.of(ErrorCodes.NOT_FOUND, "no " + call, Outcome.NOT_RUN));
        }
    }

    private void apply(HttpExchange exchange, byte[] body) throws IOException {
        ConfigApply change;
        try {
            change = ApiCodec.decodeRequest(body, ConfigApply.class);
        } catch (InvalidMessageException e) {
            throw new IOException(e);
        }
        boolean conflict =
                remainingConflicts.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
        if (conflict || change.ifVersion() != configuration.version()) {
            configuration =
                    new ConfigView(
                            configuration.version() + 1,
                            configuration.base() + "// other\n",
                            configuration.overlays());
            ErrorView error =
                    ErrorView.of(ErrorCodes.VERSION_CONFLICT, "lost", Outcome.NOT_RUN)
                            .withChanges(
                                    List.of(
                                            new ChangeView(
                                                    "base x", Optional.of("1"), Optional.of("2"))));
            reply(exchange, 409, error);
            return;
        }
        long version = change.ifVersion() + 1;
        configuration = new ConfigView(version, change.base(), change.overlays());
        reply(exchange, 200, new ApplyResult(version, applyStatus, List.of("e1"), List.of()));
    }

    private static void reply(HttpExchange exchange, int status, Object message)
            throws IOException {
        byte[] bytes =
                message instanceof String text
                        ? text.getBytes(StandardCharsets.UTF_8)
                        : ApiCodec.encode(message);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
