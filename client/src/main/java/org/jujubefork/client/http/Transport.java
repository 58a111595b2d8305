package org.jujubefork.client.http;

import java.net.ConnectException;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodySubscribers;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * HTTP client that a process shares for all outgoing calls: HTTP/1.1 with keep-alive, no redirects,
 * callbacks on virtual threads. Calls block the calling thread, which should be a virtual thread.
 * Safe for use by many threads.
 *
 * <p>Resends: {@code java.net.http} resends GET and HEAD by itself when a kept-alive connection
 * turns out to be closed, and never PUT, POST or DELETE, unless the system property {@code
 * jdk.httpclient.enableAllMethodRetry} is set; {@link #create} therefore throws if it is set to
 * anything but {@code false}. A retry of the connection attempt itself ({@code
 * jdk.httpclient.disableRetryConnect} unset) happens before any byte is sent and is harmless.
 * Redirects and authentication, which could also send a request twice, are disabled.
 *
 * <p>Keep-alive: {@code jdk.httpclient.keepalive.timeout} (seconds, default 30) must stay below the
 * idle timeout of the servers. Otherwise a POST can be sent on a connection that the server is
 * closing, and its outcome is unknown.
 */
public final class Transport implements AutoCloseable {
    /** System property that makes {@code java.net.http} resend requests of every method. */
    public static final String RETRY_ALL_METHODS_PROPERTY = "jdk.httpclient.enableAllMethodRetry";

    /**
     * Margin added to the request timeout before the call is cancelled, so that the HTTP client can
     * report a connection timeout as such first.
     */
    private static final Duration CALL_TIMEOUT_MARGIN = Duration.ofMillis(50);

    private final ExecutorService executor;
    private final HttpClient client;

    private Transport(Duration connectTimeout) {
        this.executor = Executors.newVirtualThreadPerTaskExecutor();
        this.client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .followRedirects(HttpClient.Redirect.NEVER)
                        .connectTimeout(connectTimeout)
                        .executor(executor)
                        .build();
    }

    /**
     * Creates a transport.
     *
     * @param connectTimeout time limit for establishing one connection
     * @throws IllegalStateException if {@link #RETRY_ALL_METHODS_PROPERTY} enables resends of POST
     */
    public static Transport create(Duration connectTimeout) {
        String retry = System.getProperty(RETRY_ALL_METHODS_PROPERTY);
        if (retry != null && !retry.equals("false")) {
            throw new IllegalStateException(
                    RETRY_ALL_METHODS_PROPERTY
                            + "="
                            + retry
                            + " would resend non-idempotent requests");
        }
        return new Transport(connectTimeout);
    }

    /**
     * Sends a request and reads the whole response body into memory. If the calling thread is
     * interrupted, the call ends with {@link CallResult.Unknown} and the interrupt flag stays set.
     *
     * @param request URI, method, headers and body; its timeout is overwritten
     * @param timeout time limit for the whole call, including the response body; the call returns
     *     at most 50 ms later
     */
    public CallResult call(HttpRequest.Builder request, Duration timeout) {
        HttpRequest timedRequest = request.timeout(timeout).build();
        return await(
                client.sendAsync(timedRequest, HttpResponse.BodyHandlers.ofByteArray())
                        .thenApply(
                                r ->
                                        new CallResult.Response(
                                                r.statusCode(), r.headers(), r.body(), 0)),
                timeout);
    }

    /**
     * Sends a request and passes the body of a response with status 200 to {@code sink}; the body
     * of any other response is read into memory.
     *
     * <p>When the result is {@code Unknown}, the sink may have received part of the body, and its
     * last call may still be running. An interrupt has the same effect as in {@link #call}.
     *
     * @param request URI, method, headers and body; its timeout is overwritten
     * @param sink receives the body
     * @param timeout time limit for the whole call, including the response body and the time spent
     *     in the sink
     */
    public CallResult stream(HttpRequest.Builder request, ChunkSink sink, Duration timeout) {
        HttpRequest timedRequest = request.timeout(timeout).build();
        return await(
                client.sendAsync(timedRequest, info -> bodySubscriber(info, sink))
                        .thenApply(HttpResponse::body),
                timeout);
    }

    private static HttpResponse.BodySubscriber<CallResult.Response> bodySubscriber(
            HttpResponse.ResponseInfo info, ChunkSink sink) {
        if (info.statusCode() == 200) {
            return BodySubscribers.mapping(
                    ChunkSubscriber.to(sink),
                    n ->
                            new CallResult.Response(
                                    info.statusCode(), info.headers(), new byte[0], n));
        }
        return BodySubscribers.mapping(
                BodySubscribers.ofByteArray(),
                b -> new CallResult.Response(info.statusCode(), info.headers(), b, 0));
    }

    private static CallResult await(
            CompletableFuture<? extends CallResult.Response> future, Duration timeout) {
        try {
            return future.get(timeout.plus(CALL_TIMEOUT_MARGIN).toNanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException e) {
            return failedCall(e.getCause());
        } catch (TimeoutException e) {
            future.cancel(true);
            return new CallResult.Unknown("no complete response within " + timeout, true);
        } catch (InterruptedException e) {
            future.cancel(true);
            Thread.currentThread().interrupt();
            return new CallResult.Unknown("interrupted while waiting for the response", false);
        }
    }

    /**
     * Maps an exception to a result. Only a failed connection attempt proves that no byte was sent;
     * a reset, a timeout or a closed connection can occur after the server has received the
     * request.
     */
    private static CallResult failedCall(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        String reason = String.valueOf(cause.getMessage());
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            // The HTTP client's exception has no message when the connection is refused.
            return new CallResult.NotConnected(
                    "connect failed: "
                            + (cause.getMessage() == null
                                    ? "connection refused or address unreachable"
                                    : reason));
        }
        return new CallResult.Unknown(
                cause.getClass().getSimpleName() + ": " + reason,
                cause instanceof HttpTimeoutException);
    }

    /** Closes all connections; calls in progress end with {@link CallResult.Unknown}. */
    @Override
    public void close() {
        client.shutdownNow();
        client.close();
        executor.close();
    }
}
