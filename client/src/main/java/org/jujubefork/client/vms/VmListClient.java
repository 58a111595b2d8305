package org.jujubefork.client.vms;

import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicReference;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.CallResult;
import org.jujubefork.client.http.JsonFields;
import org.jujubefork.client.http.MalformedResponseException;
import org.jujubefork.client.http.Transport;
import org.jujubefork.core.model.Location;

/**
 * Client of the platform's VM list, which may lag behind the actual state of the VMs. Safe for use
 * by many threads.
 *
 * <p>Each read after the first is conditional ({@code If-None-Match}), because transferring the
 * list of 1,100 VMs on every poll, once per second, would exceed the daemon's traffic budget. If
 * the server sends no {@code ETag}, the whole list is transferred each time.
 */
public final class VmListClient {
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;

    private final Transport transport;
    private final Address address;
    private final AtomicReference<TaggedList> lastList = new AtomicReference<>();

    /** A list and the entity tag of the response that contained it. */
    private record TaggedList(String tag, List<VmListing> vms) {}

    /** Creates a client of the list at {@code address}; the caller closes the transport. */
    public VmListClient(Transport transport, Address address) {
        this.transport = transport;
        this.address = address;
    }

    /**
     * Returns the whole list; the same instance as before if the server reports it unchanged (304).
     *
     * @throws VmListException if there is no response within {@code timeout}, or if the response
     *     has an error status or a malformed element; a response is never used in part
     */
    public List<VmListing> list(Duration timeout) throws VmListException {
        HttpRequest.Builder request = HttpRequest.newBuilder(address.uri("/v1/vms")).GET();
        TaggedList cached = lastList.get();
        if (cached != null) {
            request.header("If-None-Match", cached.tag());
        }
        return switch (transport.call(request, timeout)) {
            case CallResult.NotConnected n -> throw new VmListException(n.reason());
            case CallResult.Unknown u -> throw new VmListException(u.reason());
            case CallResult.Response response -> read(response, cached);
        };
    }

    private List<VmListing> read(CallResult.Response response, TaggedList cached)
            throws VmListException {
        if (response.status() == NOT_MODIFIED && cached != null) {
            return cached.vms();
        }
        if (response.status() != OK) {
            throw new VmListException("VM list returned status " + response.status());
        }
        List<VmListing> vms = parse(response);
        lastList.set(
                response.headers()
                        .firstValue("ETag")
                        .map(t -> new TaggedList(t, vms))
                        .orElse(null));
        return vms;
    }

    private static List<VmListing> parse(CallResult.Response response) throws VmListException {
        try {
            return JsonFields.parse(response.body()).list("vms", VmListClient::readListing);
        } catch (MalformedResponseException e) {
            throw new VmListException(e.getMessage(), e);
        }
    }

    private static VmListing readListing(JsonFields fields) throws MalformedResponseException {
        return new VmListing(
                fields.text("id"),
                Address.parse(fields.text("address")),
                Enum.valueOf(VmRole.class, fields.text("role").toUpperCase(Locale.ROOT)),
                Location.of(fields.text("region"), fields.text("zone"), fields.text("rack")),
                fields.resources("capacity"),
                fields.intNumber("slots"),
                Enum.valueOf(VmState.class, fields.text("state").toUpperCase(Locale.ROOT)));
    }
}
