package org.jujubefork.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jujubefork.client.http.Address;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.Resources;

/** The VMs of a test, read from a JSON file. */
public record FleetFile(List<Worker> workers, List<Entry> entries) {
    /** Requests that a worker runs at once, unless the file says otherwise. */
    public static final int DEFAULT_SLOTS = 8;

    /** Connections that a worker accepts at once, unless the file says otherwise. */
    public static final int DEFAULT_CONNECTIONS = 64;

    public FleetFile {
        workers = List.copyOf(workers);
        entries = List.copyOf(entries);
    }

    /** A worker; port 0 takes a free port. */
    public record Worker(
            String id,
            Location location,
            String host,
            int port,
            Resources capacity,
            int slots,
            int connections) {}

    /** A VM for an entry process. */
    public record Entry(String id, Location location, Address address) {}

    public static FleetFile read(Path file) throws IOException {
        return parse(new ObjectMapper().readTree(Files.readAllBytes(file)));
    }

    static FleetFile parse(JsonNode node) {
        List<Worker> workers = new ArrayList<>();
        node.path("workers").forEach(w -> workers.add(worker(w)));
        List<Entry> entries = new ArrayList<>();
        node.path("entries").forEach(e -> entries.add(entry(e)));
        return new FleetFile(workers, entries);
    }

    /** Reads a worker from the form that it has in the file. */
    public static Worker worker(JsonNode node) {
        String address = node.required("address").asText();
        int colon = address.lastIndexOf(':');
        return new Worker(
                node.required("id").asText(),
                location(node),
                address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)),
                Resources.of(
                        node.required("cpuMillis").asLong(),
                        node.required("memoryMb").asLong(),
                        node.path("accelerators").asLong(0)),
                node.path("slots").asInt(DEFAULT_SLOTS),
                node.path("connections").asInt(DEFAULT_CONNECTIONS));
    }

    /** Reads an entry from the form that it has in the file. */
    public static Entry entry(JsonNode node) {
        return new Entry(
                node.required("id").asText(),
                location(node),
                Address.parse(node.required("address").asText()));
    }

    private static Location location(JsonNode node) {
        return Location.of(
                node.required("region").asText(),
                node.required("zone").asText(),
                node.path("rack").asText(""));
    }
}
