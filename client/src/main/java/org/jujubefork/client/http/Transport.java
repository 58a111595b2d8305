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
 * The one HTTP client of a process: HTTP/1.1 with keep-alive, no redirects, callbacks on virtual
 * threads. Calls block the calling thread, which should be a virtual thread. Safe for use by many
 * threads.
 *
 * <p>Resends: {@code java.net.http} resends GET and HEAD by itself when a kept-alive connection
 * turns out to be closed, and never PUT, POST or DELETE, unless the system property {@code
 * jdk.httpclient.enableAllMethodRetry} is set; {@link #create} therefore refuses to work with it. A
 * retry of the connect itself ({@code jdk.httpclient.disableRetryConnect} unset) happens before any
 * byte is sent and is harmless. Redirects and authentication, the other causes of a second send,
 * are off.
 *
 * <p>Keep-alive: {@code jdk.httpclient.keepalive.timeout} (seconds, default 30) must stay below the
 * idle limit of the servers. Otherwise a POST can meet a connection that the server is closing, and
 * its outcome is unknown.
 */
public final class Transport implements AutoCloseable {
    /** System property that lets {@code java.net.http} resend requests of every method. */
    public static final String RETRY_ALL_METHODS_PROPERTY = "jdk.httpclient.enableAllMethodRetry";

    /**
     * Time by which the call's own limit exceeds that of the request, so that the HTTP client
     * reports a connect that did not complete as such before the call is cancelled.
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
     * Opens a transport.
     *
     * @param connectTimeout limit for establishing one connection
     * @throws IllegalStateException if {@link #RETRY_ALL_METHODS_PROPERTY} allows resends of POST
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
     * Sends a request and reads the whole response body into memory. An interrupt of the calling
     * thread ends the call with an unknown outcome and stays set.
     *
     * @param request URI, method, headers and body; its timeout is overwritten
     * @param timeout limit for the whole call, including the response body; the call returns at
     *     most 50 ms later
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
     * <p>The sink may have received a part of the body when the result is {@code Unknown}, and may
     * still be in its last call. An interrupt acts as on {@link #call}.
     *
     * @param request URI, method, headers and body; its timeout is overwritten
     * @param sink receives the body
     * @param timeout limit for the whole call, including the response body and the sink's time
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
            return new CallResult.Unknown("no complete answer within " + timeout, true);
        } catch (InterruptedException e) {
            future.cancel(true);
            Thread.currentThread().interrupt();
            return new CallResult.Unknown("interrupted while waiting for the answer", false);
        }
    }

    /**
     * Only a connect that failed proves that no byte was sent; resets, timeouts and closed
     * connections can follow after the server has received the request.
     */
    private static CallResult failedCall(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        String reason = String.valueOf(cause.getMessage());
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            // The HTTP client gives no message when the connection is refused.
            return new CallResult.NotConnected(
                    "connect failed: "
                            + (cause.getMessage() == null
                                    ? "refused, or the address is not reachable"
                                    : reason));
        }
        return new CallResult.Unknown(
                cause.getClass().getSimpleName() + ": " + reason,
                cause instanceof HttpTimeoutException);
    }

    /** Closes all connections; calls in progress end with an unknown outcome. */
    @Override
    public void close() {
        client.shutdownNow();
        client.close();
        executor.close();
    }
}
