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

/** Guards against a server that ends a connection under a caller that goes on using it. */
public final class KeepAliveTest {
    private static final int REQUESTS = 600;
    private static final int MAX_BODY_BYTES = 1_000;

    private static final String NO_HEADERS = "";

    /** Headers by which the client of the JDK offers HTTP/2 in each request. */
    private static final String OFFER =
            "Connection: Upgrade, HTTP2-Settings\r\n"
                    + "HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\n"
                    + "Upgrade: h2c\r\n";

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Returns methods, headers, bodies (null: no length is announced) and statuses of answers. */
    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"GET", NO_HEADERS, null, 200},
            {"GET", NO_HEADERS, "", 410},
            {"GET", NO_HEADERS, "{}", 504},
            {"GET", OFFER, null, 200},
            {"GET", OFFER, "", 200},
            {"DELETE", NO_HEADERS, null, 200},
            {"DELETE", NO_HEADERS, "", 200},
            {"DELETE", OFFER, "", 200},
            {"POST", NO_HEADERS, "", 200},
            {"POST", NO_HEADERS, "{\"a\":1}", 429},
            {"POST", OFFER, "{\"a\":1}", 200},
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
            int answered = 0;
            for (int i = 0; i < REQUESTS; i++) {
                socket.getOutputStream().write(request);
                answered += answer(reader, status) ? 1 : 0;
            }
            assertEquals(answered, REQUESTS, "answers on one connection");
        }
    }

    private static String request(String method, String headers, String body) {
        String start = method + " / HTTP/1.1\r\nHost: h\r\n" + headers;
        return body == null
                ? start + "\r\n"
                : start + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static boolean answer(BufferedReader reader, int status) throws IOException {
        String line = reader.readLine();
        boolean ok = line != null && line.contains(" " + status + " ");
        while (line != null && !line.isEmpty()) {
            line = reader.readLine();
        }
        return ok;
    }
}
