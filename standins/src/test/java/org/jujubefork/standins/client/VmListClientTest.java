package org.jujubefork.standins.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.CallResult;
import org.jujubefork.client.http.Transport;
import org.jujubefork.client.vms.VmListClient;
import org.jujubefork.client.vms.VmListException;
import org.jujubefork.client.vms.VmListing;
import org.jujubefork.client.vms.VmRole;
import org.jujubefork.client.vms.VmState;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.Resources;
import org.jujubefork.standins.Await;
import org.jujubefork.standins.fleet.FleetFile;
import org.jujubefork.standins.vms.VmList;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a list of VMs that is used although it is malformed or incomplete. */
public final class VmListClientTest {
    private static final Duration LONG = Duration.ofSeconds(30);
    private static final String WORKER =
            "{\"id\":\"w1\",\"region\":\"leman\",\"zone\":\"leman-a\",\"rack\":\"r1\","
                    + "\"address\":\"127.0.0.1:21001\",\"cpuMillis\":30000,\"memoryMb\":130000,"
                    + "\"accelerators\":2}";
    private static final String ENTRY =
            "{\"id\":\"entry-1\",\"region\":\"leman\",\"zone\":\"leman-a\","
                    + "\"address\":\"127.0.0.1:20001\"}";
    private static final VmListing LISTED_WORKER =
            new VmListing(
                    "w1",
                    Address.of("127.0.0.1", 21_001),
                    VmRole.WORKER,
                    Location.of("leman", "leman-a", "r1"),
                    Resources.of(30_000, 130_000, 2),
                    8,
                    VmState.LIVE);
    private static final VmListing LISTED_ENTRY =
            new VmListing(
                    "entry-1",
                    Address.of("127.0.0.1", 20_001),
                    VmRole.ENTRY,
                    Location.of("leman", "leman-a", ""),
                    Resources.ZERO,
                    0,
                    VmState.LIVE);

    private Transport transport;

    @BeforeMethod
    public void open() {
        transport = Transport.create(Duration.ofSeconds(10));
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        transport.close();
    }

    private VmList start(Duration lag) throws Exception {
        Path file = Files.createTempFile("fleet", ".json");
        try {
            Files.writeString(file, "{\"workers\":[" + WORKER + "],\"entries\":[" + ENTRY + "]}");
            return VmList.start(0, lag, FleetFile.read(file));
        } finally {
            Files.delete(file);
        }
    }

    private VmListClient client(int port) {
        return new VmListClient(transport, Address.of("127.0.0.1", port));
    }

    @Test
    public void listHasWorkersAndEntries() throws Exception {
        try (VmList list = start(Duration.ZERO)) {
            assertEquals(
                    List.copyOf(client(list.port()).list(LONG)),
                    List.of(LISTED_ENTRY, LISTED_WORKER));
        }
    }

    @Test
    public void changesShowAfterTheLag() throws Exception {
        try (VmList list = start(Duration.ofMinutes(10))) {
            list.leaving("w1", true);
            list.remove("entry-1");
            assertEquals(client(list.port()).list(LONG).size(), 2);
        }
        try (VmList list = start(Duration.ofMillis(100))) {
            list.leaving("w1", true);
            Await.until(
                    "w1 is listed as leaving",
                    () ->
                            client(list.port()).list(LONG).stream()
                                    .anyMatch(vm -> vm.state() == VmState.LEAVING));
        }
    }

    /** Guards against polls that transfer an unchanged list, and against a list kept too long. */
    @Test
    public void unchangedListIsNotTransferredAgain() throws Exception {
        try (VmList list = start(Duration.ZERO)) {
            VmListClient client = client(list.port());
            List<VmListing> first = client.list(LONG);
            assertEquals(client.list(LONG), first);
            assertEquals(client.list(LONG), first);
            assertEquals(list.wholeAnswers(), 1);
            list.leaving("w1", true);
            assertEquals(client.list(LONG).get(1).state(), VmState.LEAVING);
            assertEquals(client.list(LONG).get(1).state(), VmState.LEAVING);
            assertEquals(list.wholeAnswers(), 2);
        }
    }

    /** Guards against an answer 304 to an unconditional request that is taken for a list. */
    @Test
    public void notModifiedWithoutKnownListIsAnError() throws Exception {
        try (RawServer server =
                new RawServer(
                        (n, socket) ->
                                RawServer.write(socket, "HTTP/1.1 304 Not Modified\r\n\r\n"))) {
            VmListClient client = new VmListClient(transport, server.address());
            assertThrows(VmListException.class, () -> client.list(LONG));
        }
    }

    @Test
    public void controlEndpointsChangeTheList() throws Exception {
        try (VmList list = start(Duration.ZERO)) {
            post(list, "remove?id=w1", "");
            post(list, "remove?id=entry-1", "");
            assertEquals(client(list.port()).list(LONG), List.of());
            post(list, "add-worker", WORKER);
            post(list, "add-entry", ENTRY);
            post(list, "leaving?id=entry-1&on=true", "");
            List<VmListing> vms = client(list.port()).list(LONG);
            assertEquals(vms.get(0).state(), VmState.LEAVING);
            assertEquals(vms.get(1), LISTED_WORKER);
        }
    }

    private void post(VmList list, String action, String body) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                Address.of("127.0.0.1", list.port()).uri("/control/vms/" + action))
                        .POST(BodyPublishers.ofString(body));
        assertEquals(((CallResult.Response) transport.call(request, LONG)).status(), 200);
    }

    @DataProvider
    public Object[][] unusableAnswers() {
        return new Object[][] {
            {"200 OK", "{}"},
            {"200 OK", "{\"vms\":[{\"id\":\"w1\"}]}"},
            {"200 OK", "[]"},
            {"200 OK", ""},
            {"500 Internal Server Error", "{\"vms\":[]}"},
            {"200 OK", listing("\"state\":\"live\"", "\"state\":\"gone\"")},
            {"200 OK", listing("127.0.0.1:21001", "127.0.0.1")},
            {"200 OK", listing("\"slots\":8", "\"slots\":-1")},
            {"200 OK", listing("\"slots\":8", "\"slots\":8000000000")}
        };
    }

    private static String listing(String from, String to) {
        String good =
                "{\"vms\":[{\"id\":\"w1\",\"address\":\"127.0.0.1:21001\",\"role\":\"worker\","
                        + "\"region\":\"a\",\"zone\":\"b\",\"rack\":\"\",\"slots\":8,"
                        + "\"state\":\"live\",\"capacity\":{\"cpuMillis\":1,\"memoryMb\":1,"
                        + "\"accelerators\":0}}]}";
        return good.replace(from, to);
    }

    @Test(dataProvider = "unusableAnswers")
    public void unusableAnswerIsAnError(String status, String body) throws Exception {
        try (RawServer server = answering(status, body)) {
            VmListClient client = new VmListClient(transport, server.address());
            assertThrows(VmListException.class, () -> client.list(LONG));
        }
    }

    /** Shows that the answers above differ from a good one only in their fault. */
    @Test
    public void goodAnswerIsRead() throws Exception {
        try (RawServer server = answering("200 OK", listing("", ""))) {
            assertEquals(new VmListClient(transport, server.address()).list(LONG).size(), 1);
        }
    }

    private static RawServer answering(String status, String body) throws Exception {
        String answer =
                "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        return new RawServer((n, socket) -> RawServer.write(socket, answer));
    }

    @Test
    public void stoppedListIsAnError() throws Exception {
        VmList list = start(Duration.ZERO);
        list.close();
        assertThrows(VmListException.class, () -> client(list.port()).list(LONG));
    }
}
