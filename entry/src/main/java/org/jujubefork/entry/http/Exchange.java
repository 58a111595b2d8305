package org.jujubefork.entry.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.jujubefork.client.api.ApiCodec;
import org.jujubefork.client.api.ApiPaths;
import org.jujubefork.client.api.ErrorView;

/** One HTTP request and its response, handled on a virtual thread. */
public final class Exchange {
    private static final String JSON = "application/json";
    private static final String BEARER_PREFIX = "Bearer ";

    private final Request request;
    private final Response response;

    Exchange(Request request, Response response) {
        this.request = request;
        this.response = response;
    }

    /** Returns the HTTP method of the request. */
    public Method method() {
        return request.getMethod();
    }

    /** Returns the percent-decoded path. */
    public String path() {
        return URLDecoder.decode(request.getRequestURI(), StandardCharsets.UTF_8);
    }

    /** Returns the path as the caller sent it, still percent-encoded. */
    public String rawPath() {
        return request.getRequestURI();
    }

    /** Returns whether the path is not empty and all its percent-escapes are well-formed. */
    boolean hasValidPath() {
        try {
            return !path().isEmpty();
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Returns the query parameter {@code name}, or empty if the request has none. */
    public Optional<String> queryParameter(String name) {
        return Optional.ofNullable(request.getParameter(name));
    }

    /** Returns the request header {@code name}, or empty if the request has none. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeader(name));
    }

    /** Returns the access key in the bearer token of the request, or empty if there is none. */
    public Optional<String> accessKey() {
        return header("Authorization")
                .filter(h -> h.startsWith(BEARER_PREFIX))
                .map(h -> h.substring(BEARER_PREFIX.length()).trim());
    }

    /**
     * Reads the whole request body.
     *
     * @param maxBytes the maximum length of the body
     * @throws BodyException if the body is longer than {@code maxBytes}, or shorter than its {@code
     *     Content-Length}
     */
    public byte[] readBody(int maxBytes) throws IOException, BodyException {
        long contentLength = request.getContentLengthLong();
        if (contentLength > maxBytes) {
            throw BodyException.tooLarge(maxBytes);
        }
        InputStream input = request.getInputStream();
        // A read of the known length keeps the stream from allocating its default buffer of 16 KiB.
        byte[] body = input.readNBytes(contentLength >= 0 ? (int) contentLength : maxBytes + 1);
        if (body.length > maxBytes) {
            throw BodyException.tooLarge(maxBytes);
        }
        if (contentLength >= 0 && body.length < contentLength) {
            throw BodyException.truncated(body.length, contentLength);
        }
        return body;
    }

    /** Returns the HTTP status of the response; meaningful only after a response was sent. */
    public int status() {
        return response.getStatus();
    }

    /** Sets the response header {@code name}; must be called before the response is sent. */
    public void setHeader(String name, String value) {
        response.setHeader(name, value);
    }

    /** Sends {@code view} encoded as JSON with the HTTP status {@code status}. */
    public void sendJson(int status, Object view) throws IOException {
        send(status, JSON, ApiCodec.encode(view));
    }

    /** Sends {@code error} as JSON; its outcome and retry-after time also go into the headers. */
    public void sendError(int status, ErrorView error) throws IOException {
        setHeader(ApiPaths.OUTCOME_HEADER, error.outcome());
        error.retryAfterMillis()
                .ifPresent(m -> setHeader("Retry-After", Long.toString(Math.max(1, m / 1_000))));
        sendJson(status, error);
    }

    /** Sends a complete response of the known length of {@code body}. */
    public void send(int status, String contentType, byte[] body) throws IOException {
        response.setStatus(status);
        response.setContentType(contentType);
        response.setContentLength(body.length);
        try (OutputStream output = response.getOutputStream()) {
            output.write(body);
        }
    }

    /**
     * Starts a response whose body the caller streams.
     *
     * @param length the length of the body in bytes; chunked transfer encoding is used if empty
     * @return the stream to write the body to; closing it marks the body as complete
     */
    public OutputStream startStreaming(int status, String contentType, Optional<Long> length) {
        response.setStatus(status);
        response.setContentType(contentType);
        length.ifPresent(response::setContentLengthLong);
        return response.getOutputStream();
    }

    /** Closes the connection, so that the caller detects that the response is incomplete. */
    public void abort() {
        connection().terminateSilently();
    }

    Connection<?> connection() {
        return request.getRequest().getConnection();
    }

    Response response() {
        return response;
    }
}
