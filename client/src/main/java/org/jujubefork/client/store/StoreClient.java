package org.jujubefork.client.store;

import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.CallResult;
import org.jujubefork.client.http.JsonFields;
import org.jujubefork.client.http.Transport;

/**
 * Client of the platform's key-value store (section 7 of the design page).
 *
 * <p>Keys may contain {@code /}; values are bytes. Each call blocks, has a time limit, is sent once
 * and counts once against the store's rate limit, except that a read may be sent again if a
 * kept-alive connection turns out to be closed. Safe for use by many threads.
 */
public final class StoreClient {
    /** Largest value, in bytes. */
    public static final int MAX_VALUE_BYTES = 1024 * 1024;

    /** Expected revision of a key that must not exist. */
    public static final long ABSENT = 0;

    /** Response header with the revision of a key's value. */
    public static final String REVISION_HEADER = "Jujube-Revision";

    /** Margin added to the wait time of a watch to get the time limit of the HTTP call. */
    private static final Duration WATCH_TIMEOUT_MARGIN = Duration.ofSeconds(2);

    private final Transport transport;
    private final Address address;

    /** Creates a client of the store at {@code address}; the caller closes the transport. */
    public StoreClient(Transport transport, Address address) {
        this.transport = transport;
        this.address = address;
    }

    /**
     * Reads a key.
     *
     * @return the value, or empty if the key does not exist
     * @throws StoreException if the store returned no usable response
     */
    public Optional<KeyValue> get(String key, Duration timeout) throws StoreException {
        CallResult.Response response =
                StoreResponses.requireResponse(
                        transport.call(request(keyPath(key)).GET(), timeout));
        if (response.status() == 404) {
            return Optional.empty();
        }
        try {
            OptionalLong revision = response.headers().firstValueAsLong(REVISION_HEADER);
            if (response.status() == 200 && revision.isPresent()) {
                return Optional.of(new KeyValue(key, response.body(), revision.getAsLong()));
            }
        } catch (NumberFormatException e) {
            throw StoreResponses.malformedResponse(e);
        }
        throw new StoreException(
                StoreException.Kind.MALFORMED,
                "response has no value or no revision, status " + response.status());
    }

    /**
     * Writes a key.
     *
     * @param expectedRevision revision that the key must have, {@link #ABSENT} if it must not
     *     exist, empty to write unconditionally
     * @param lease lease on whose expiry the key is deleted, if any
     * @throws IllegalArgumentException if the value is longer than {@link #MAX_VALUE_BYTES}
     */
    public WriteResult put(
            String key,
            byte[] value,
            OptionalLong expectedRevision,
            Optional<StoreLease> lease,
            Duration timeout) {
        if (value.length > MAX_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "value of " + key + " has " + value.length + " bytes");
        }
        StringBuilder path = new StringBuilder(keyPath(key));
        char separator = '?';
        if (expectedRevision.isPresent()) {
            path.append("?ifRevision=").append(expectedRevision.getAsLong());
            separator = '&';
        }
        if (lease.isPresent()) {
            path.append(separator).append("lease=").append(StoreKeys.encode(lease.get().id()));
        }
        HttpRequest.Builder request =
                request(path.toString())
                        .header("Content-Type", "application/octet-stream")
                        .PUT(BodyPublishers.ofByteArray(value));
        return StoreResponses.toWriteResult(transport.call(request, timeout));
    }

    /**
     * Deletes a key. If the key does not exist, the result is {@code Conflict(0)} if a revision was
     * expected, otherwise {@code NotApplied}.
     *
     * @param expectedRevision revision that the key must have, empty to delete unconditionally
     */
    public WriteResult delete(String key, OptionalLong expectedRevision, Duration timeout) {
        String condition =
                expectedRevision.isPresent() ? "?ifRevision=" + expectedRevision.getAsLong() : "";
        return StoreResponses.toWriteResult(
                transport.call(request(keyPath(key) + condition).DELETE(), timeout));
    }

    /**
     * Reads all keys that start with {@code prefix} at one store revision.
     *
     * @throws StoreException if the store returned no usable response
     */
    public RangeResult range(String prefix, Duration timeout) throws StoreException {
        String path = "/v1/range?prefix=" + StoreKeys.encode(prefix);
        CallResult.Response response =
                StoreResponses.requireResponse(transport.call(request(path).GET(), timeout));
        return StoreResponses.read(
                response,
                200,
                f ->
                        new RangeResult(
                                f.number("revision"),
                                f.list("items", StoreResponses::readKeyValue)));
    }

    /**
     * Waits for changes of keys that start with {@code prefix}.
     *
     * @param afterRevision store revision after which changes are returned
     * @param maxWait how long the store waits for a first change; the HTTP call may take 2 s longer
     * @throws StoreException if the store returned no usable response
     */
    public WatchResult watch(String prefix, long afterRevision, Duration maxWait)
            throws StoreException {
        String path =
                "/v1/watch?prefix="
                        + StoreKeys.encode(prefix)
                        + "&after="
                        + afterRevision
                        + "&timeoutMillis="
                        + maxWait.toMillis();
        CallResult.Response response =
                StoreResponses.requireResponse(
                        transport.call(request(path).GET(), maxWait.plus(WATCH_TIMEOUT_MARGIN)));
        if (response.status() == 410) {
            return StoreResponses.read(
                    response, 410, f -> new WatchResult.Trimmed(f.number("revision")));
        }
        return StoreResponses.read(
                response,
                200,
                f ->
                        new WatchResult.Changes(
                                f.number("revision"),
                                f.list("changes", StoreResponses::readChange)));
    }

    /**
     * Requests a lease. If the response is lost, the granted lease expires unused.
     *
     * @throws StoreException if the store returned no usable response
     */
    public StoreLease grantLease(Duration ttl, Duration timeout) throws StoreException {
        byte[] body = JsonFields.encode(JsonFields.object().put("ttlMillis", ttl.toMillis()));
        HttpRequest.Builder request =
                request("/v1/leases")
                        .header("Content-Type", "application/json")
                        .POST(BodyPublishers.ofByteArray(body));
        CallResult.Response response =
                StoreResponses.requireResponse(transport.call(request, timeout));
        return StoreResponses.read(
                response,
                201,
                f -> new StoreLease(f.text("id"), Duration.ofMillis(f.number("ttlMillis"))));
    }

    /**
     * Renews the lease for its full time to live.
     *
     * @return false if the lease has expired
     * @throws StoreException if the store returned no usable response
     */
    public boolean keepAlive(StoreLease lease, Duration timeout) throws StoreException {
        HttpRequest.Builder request =
                request("/v1/leases/" + StoreKeys.encode(lease.id())).PUT(BodyPublishers.noBody());
        CallResult.Response response =
                StoreResponses.requireResponse(transport.call(request, timeout));
        if (response.status() == 404) {
            return false;
        }
        return StoreResponses.read(response, 200, f -> f.number("ttlMillis") > 0);
    }

    private static String keyPath(String key) {
        return "/v1/kv" + StoreKeys.encodePath(key);
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(address.uri(path));
    }
}
