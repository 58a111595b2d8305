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
    private static final String BEARER = "Bearer ";

    private final Request request;
    private final Response response;

    Exchange(Request request, Response response) {
        this.request = request;
        this.response = response;
    }

    /** Returns the method. */
    public Method method() {
        return request.getMethod();
    }

    /** Returns the decoded path. */
    public String path() {
        return URLDecoder.decode(request.getRequestURI(), StandardCharsets.UTF_8);
    }

    /** Returns the path as the caller sent it. */
    public String rawPath() {
        return request.getRequestURI();
    }

    /** Returns whether the escapes in the path can be decoded. */
    boolean hasValidPath() {
        try {
            return !path().isEmpty();
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Returns the query parameter {@code name}. */
    public Optional<String> queryParameter(String name) {
        return Optional.ofNullable(request.getParameter(name));
    }

    /** Returns the header {@code name}. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeader(name));
    }

    /** Returns the access key that came with the request. */
    public Optional<String> accessKey() {
        return header("Authorization")
                .filter(h -> h.startsWith(BEARER))
                .map(h -> h.substring(BEARER.length()).trim());
    }

    /**
     * Reads the whole body.
     *
     * @param maxBytes the longest body
     * @throws BodyException if the body is longer, or ends before its announced length
     */
    public byte[] readBody(int maxBytes) throws IOException, BodyException {
        long announced = request.getContentLengthLong();
        if (announced > maxBytes) {
            throw BodyException.tooLarge(maxBytes);
        }
        InputStream input = request.getInputStream();
        // The stream reads in pieces of 16 KiB unless it is asked for less.
        byte[] body = input.readNBytes(announced >= 0 ? (int) announced : maxBytes + 1);
        if (body.length > maxBytes) {
            throw BodyException.tooLarge(maxBytes);
        }
        if (announced >= 0 && body.length < announced) {
            throw BodyException.truncated(body.length, announced);
        }
        return body;
    }

    /** Returns the status of the response, once it was sent. */
    public int status() {
        return response.getStatus();
    }

    /** Sets a response header. */
    public void setHeader(String name, String value) {
        response.setHeader(name, value);
    }

    /** Sends {@code view} as JSON with {@code status}. */
    public void sendJson(int status, Object view) throws IOException {
        send(status, JSON, ApiCodec.encode(view));
    }

    /** Sends {@code error} with {@code status} and its outcome in the header. */
    public void sendError(int status, ErrorView error) throws IOException {
        setHeader(ApiPaths.OUTCOME_HEADER, error.outcome());
        error.retryAfterMillis()
                .ifPresent(m -> setHeader("Retry-After", Long.toString(Math.max(1, m / 1_000))));
        sendJson(status, error);
    }

    /** Sends {@code body} with {@code status}. */
    public void send(int status, String contentType, byte[] body) throws IOException {
        response.setStatus(status);
        response.setContentType(contentType);
        response.setContentLength(body.length);
        try (OutputStream output = response.getOutputStream()) {
            output.write(body);
        }
    }

    /**
     * Starts a response whose body is written piece by piece.
     *
     * @param length its length, if known
     */
    public OutputStream startStreaming(int status, String contentType, Optional<Long> length) {
        response.setStatus(status);
        response.setContentType(contentType);
        length.ifPresent(response::setContentLengthLong);
        return response.getOutputStream();
    }

    /** Closes the connection, so that the caller sees that the response is not complete. */
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
