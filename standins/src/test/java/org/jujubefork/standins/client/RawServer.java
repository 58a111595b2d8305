package org.jujubefork.standins.client;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.jujubefork.client.http.Address;

/** A server that answers each request by a script, below the level of HTTP software. */
final class RawServer implements AutoCloseable {
    private final ServerSocket listener;
    private final AtomicInteger requests = new AtomicInteger();

    /** Acts on the request with the given number, counted from 1 over all connections. */
    @FunctionalInterface
    interface Script {
        void answer(int number, Socket socket) throws IOException;
    }

    RawServer(Script script) throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(() -> acceptAll(script));
    }

    Address address() {
        return Address.of("127.0.0.1", listener.getLocalPort());
    }

    /** Returns how many whole request heads came in. */
    int requests() {
        return requests.get();
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    private void acceptAll(Script script) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Thread.ofVirtual().start(() -> serve(script, socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Script script, Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.isEmpty()) {
                    script.answer(requests.incrementAndGet(), socket);
                }
            }
        } catch (IOException e) {
            // The client closed the connection, or the script did.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
