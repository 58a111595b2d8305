package rig;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client, HTTP/1.1 with keep-alive. */
public final class RawCall implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream input;

    public RawCall(int port) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream());
    }

    public Cell.Reply send(String method, String path, String body, String key, long timeoutMillis) throws IOException {
        socket.setSoTimeout((int) timeoutMillis + 1_000);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head =
                method + " " + path + " HTTP/1.1\r\nHost: " + Cell.HOST + "\r\nAuthorization: Token " + key
                        + "\r\nTimeout-Ms: " + timeoutMillis
                        + (bytes.length > 0
                                ? "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                                : "")
                        + "\r\n\r\n";
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(head.getBytes(StandardCharsets.UTF_8));
        out.write(bytes);
        socket.getOutputStream().write(out.toByteArray());
        String status = line();
        int length = 0;
        for (String header = line(); !header.isEmpty(); header = line()) {
            if (header.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(header.substring(15).trim());
            }
        }
        String text = new String(input.readNBytes(length), StandardCharsets.UTF_8);
        return new Cell.Reply(Integer.parseInt(status.split(" ")[1]), text);
    }

    private String line() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = input.read(); c != '\n'; c = input.read()) {
            if (c < 0) {
                throw new EOFException("the connection ended without a complete answer");
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
        return text.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
