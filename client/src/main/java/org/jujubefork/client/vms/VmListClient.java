package org.jujubefork.client.vms;

import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.CallResult;
import org.jujubefork.client.http.JsonFields;
import org.jujubefork.client.http.MalformedAnswerException;
import org.jujubefork.client.http.Transport;
import org.jujubefork.core.model.Location;

/** Client of the platform's VM list, which lags behind the VMs. Safe for use by many threads. */
public final class VmListClient {
    private final Transport transport;
    private final Address address;

    /** Creates a client of the list at {@code address}; the transport stays with the caller. */
    public VmListClient(Transport transport, Address address) {
        this.transport = transport;
        this.address = address;
    }

    /**
     * Reads the whole list.
     *
     * @throws VmListException if there is no answer within {@code timeout}, or one with an error
     *     status or an entry that does not follow the protocol; an answer is never used in part
     */
    public List<VmListing> list(Duration timeout) throws VmListException {
        HttpRequest.Builder request = HttpRequest.newBuilder(address.uri("/v1/vms")).GET();
        return switch (transport.call(request, timeout)) {
            case CallResult.NotConnected n -> throw new VmListException(n.reason());
            case CallResult.Unknown u -> throw new VmListException(u.reason());
            case CallResult.Reply reply -> read(reply);
        };
    }

    private static List<VmListing> read(CallResult.Reply reply) throws VmListException {
        if (reply.status() != 200) {
            throw new VmListException("VM list answered status " + reply.status());
        }
        try {
            return JsonFields.parse(reply.body()).list("vms", VmListClient::listing);
        } catch (MalformedAnswerException e) {
            throw new VmListException(e.getMessage(), e);
        }
    }

    private static VmListing listing(JsonFields fields) throws MalformedAnswerException {
        return new VmListing(
                fields.text("id"),
                Address.parse(fields.text("address")),
                Enum.valueOf(VmRole.class, fields.text("role").toUpperCase(Locale.ROOT)),
                Location.of(fields.text("region"), fields.text("zone"), fields.text("rack")),
                fields.resources("capacity"),
                fields.smallNumber("slots"),
                Enum.valueOf(VmState.class, fields.text("state").toUpperCase(Locale.ROOT)));
    }
}
