package org.jujubefork.entry.http;

import static org.testng.Assert.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.jujubefork.config.settings.HostPort;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a server that closes a kept-alive connection which its caller still uses. */
public final class KeepAliveTest {
    private static final int REQUEST_COUNT = 600;
    private static final int MAX_BODY_BYTES = 1_000;

    private static final String NO_HEADERS = "";

    /** The headers with which the HTTP client of the JDK offers HTTP/2 in each request. */
    private static final String UPGRADE_HEADERS =
            "Connection: Upgrade, HTTP2-Settings\r\n"
                    + "HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\n"
                    + "Upgrade: h2c\r\n";

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Returns methods, headers, bodies (null: no Content-Length) and expected statuses. */
    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"GET", NO_HEADERS, null, 200},
            {"GET", NO_HEADERS, "", 410},
            {"GET", NO_HEADERS, "{}", 504},
            {"GET", UPGRADE_HEADERS, null, 200},
            {"GET", UPGRADE_HEADERS, "", 200},
            {"DELETE", NO_HEADERS, null, 200},
            {"DELETE", NO_HEADERS, "", 200},
            {"DELETE", UPGRADE_HEADERS, "", 200},
            {"POST", NO_HEADERS, "", 200},
            {"POST", NO_HEADERS, "{\"a\":1}", 429},
            {"POST", UPGRADE_HEADERS, "{\"a\":1}", 200},
        };
    }

    @Test(dataProvider = "requests")
    public void manyRequestsOnOneConnection(String method, String headers, String body, int status)
            throws IOException {
        int port = freePort();
        Endpoint endpoint =
                (exchange, path) -> {
                    exchange.readBody(MAX_BODY_BYTES);
                    exchange.send(status, "text/plain", new byte[0]);
                };
        try (HttpFrontEnd server = HttpFrontEnd.start(HostPort.of("127.0.0.1", port), endpoint);
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            byte[] request = request(method, headers, body).getBytes(StandardCharsets.US_ASCII);
            int responseCount = 0;
            for (int i = 0; i < REQUEST_COUNT; i++) {
                socket.getOutputStream().write(request);
                responseCount += readResponse(reader, status) ? 1 : 0;
            }
            assertEquals(responseCount, REQUEST_COUNT, "responses on one connection");
        }
    }

    private static String request(String method, String headers, String body) {
        String head = method + " / HTTP/1.1\r\nHost: h\r\n" + headers;
        return body == null
                ? head + "\r\n"
                : head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static boolean readResponse(BufferedReader reader, int status) throws IOException {
        String line = reader.readLine();
        boolean hasStatus = line != null && line.contains(" " + status + " ");
        while (line != null && !line.isEmpty()) {
            line = reader.readLine();
        }
        return hasStatus;
    }
}
