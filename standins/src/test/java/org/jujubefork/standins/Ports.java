package org.jujubefork.standins;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.Socket;
import java.time.Duration;

/**
 * Closes and opens the same loopback port again. The kernel's listening socket lives on for a
 * moment after the close, until the selector or the accepting thread has noticed it.
 */
public final class Ports {
    private static final Duration LIMIT = Duration.ofSeconds(10);
    private static final long PAUSE_MILLIS = 5;

    private Ports() {}

    /** Opens a port. */
    @FunctionalInterface
    public interface Binder {
        void bind() throws IOException;
    }

    /**
     * Opens a port as soon as it is free.
     *
     * @throws IOException if the port is in use for 10 s
     */
    public static void bindAgain(Binder binder) throws IOException {
        long deadline = System.nanoTime() + LIMIT.toNanos();
        while (true) {
            try {
                binder.bind();
                return;
            } catch (BindException e) {
                if (System.nanoTime() - deadline > 0) {
                    throw e;
                }
                pause();
            }
        }
    }

    /**
     * Waits until connects to a closed port are refused.
     *
     * @throws IOException if they succeed for 10 s
     */
    public static void awaitRefused(int port) throws IOException {
        long deadline = System.nanoTime() + LIMIT.toNanos();
        while (accepts(port)) {
            if (System.nanoTime() - deadline > 0) {
                throw new IOException("port " + port + " still accepts connections");
            }
            pause();
        }
    }

    private static boolean accepts(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for a port", e);
        }
    }
}
