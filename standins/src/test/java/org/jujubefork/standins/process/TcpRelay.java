package org.jujubefork.standins.process;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.jujubefork.standins.Ports;

/** Forwards connections from one loopback port to another and can reset, hold or refuse them. */
public final class TcpRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int ACCEPT_BACKLOG = 64;

    private final int port;
    private final int targetPort;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<Socket> clients = ConcurrentHashMap.newKeySet();
    // Client sockets whose bytes are held back; counting down the latch releases them.
    private final Map<Socket, CountDownLatch> latches = new ConcurrentHashMap<>();
    private final AtomicInteger heldConnectionCount = new AtomicInteger();
    private volatile boolean holdNewConnections;
    // Guarded by the monitor of this relay; null while new connections are refused.
    private ServerSocket listener;

    private TcpRelay(int listenPort, int targetPort) throws IOException {
        this.targetPort = targetPort;
        this.listener = listen(listenPort);
        this.port = listener.getLocalPort();
        startAccepting(listener);
    }

    /** Starts a relay from {@code listenPort}, or a free port if it is 0, to {@code targetPort}. */
    public static TcpRelay start(int listenPort, int targetPort) throws IOException {
        return new TcpRelay(listenPort, targetPort);
    }

    public int port() {
        return port;
    }

    /** Resets all connections; new ones are still accepted. */
    public void resetConnections() {
        for (Socket socket : sockets) {
            reset(socket);
        }
    }

    /**
     * Holds back the bytes that clients send, on the open connections and on those opened until
     * {@link #stopHoldingNewConnections}. Responses are still forwarded.
     */
    public void holdClientBytes() {
        holdNewConnections = true;
        for (Socket client : clients) {
            latches.putIfAbsent(client, new CountDownLatch(1));
        }
    }

    /** Forwards the bytes of connections opened from now on; existing ones stay held back. */
    public void stopHoldingNewConnections() {
        holdNewConnections = false;
    }

    /** Returns the number of connections that currently have bytes held back. */
    public int heldConnections() {
        return heldConnectionCount.get();
    }

    /** Forwards all bytes that were held back, and all later ones. */
    public void releaseHeldBytes() {
        stopHoldingNewConnections();
        List<CountDownLatch> pendingLatches = List.copyOf(latches.values());
        latches.clear();
        pendingLatches.forEach(CountDownLatch::countDown);
    }

    /** Refuses new connections from the return of this method on; existing ones continue. */
    public synchronized void refuseNewConnections() throws IOException {
        if (listener != null) {
            listener.close();
            listener = null;
            Ports.awaitRefused(port);
        }
    }

    /** Accepts new connections again after {@link #refuseNewConnections}. */
    public synchronized void acceptNewConnections() throws IOException {
        if (listener == null) {
            Ports.bindAgain(() -> listener = listen(port));
            startAccepting(listener);
        }
    }

    @Override
    public void close() throws IOException {
        refuseNewConnections();
        releaseHeldBytes();
        resetConnections();
    }

    private static ServerSocket listen(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        try {
            socket.setReuseAddress(true);
            socket.bind(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port), ACCEPT_BACKLOG);
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    private void startAccepting(ServerSocket serverSocket) {
        Thread.ofVirtual()
                .start(
                        () -> {
                            while (!serverSocket.isClosed()) {
                                try {
                                    forward(serverSocket.accept());
                                } catch (IOException e) {
                                    // The listener was closed, or the target refused the
                                    // connection.
                                }
                            }
                        });
    }

    private void forward(Socket client) throws IOException {
        sockets.add(client);
        Socket target = new Socket();
        sockets.add(target);
        try {
            target.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort));
        } catch (IOException e) {
            reset(client);
            reset(target);
            throw e;
        }
        clients.add(client);
        if (holdNewConnections) {
            latches.put(client, new CountDownLatch(1));
        }
        Thread.ofVirtual().start(() -> copy(client, target));
        Thread.ofVirtual().start(() -> copy(target, client));
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                awaitRelease(from);
                to.getOutputStream().write(buffer, 0, n);
            }
            to.shutdownOutput();
            if (from.isOutputShutdown()) {
                close(from);
                close(to);
            }
        } catch (IOException e) {
            reset(from);
            reset(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitRelease(Socket from) throws InterruptedException {
        CountDownLatch latch = latches.get(from);
        if (latch != null) {
            heldConnectionCount.incrementAndGet();
            latch.await();
            heldConnectionCount.decrementAndGet();
        }
    }

    private void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // The socket is already closed.
        }
        close(socket);
    }

    private void close(Socket socket) {
        sockets.remove(socket);
        clients.remove(socket);
        Optional.ofNullable(latches.remove(socket)).ifPresent(CountDownLatch::countDown);
        try {
            socket.close();
        } catch (IOException e) {
            // A socket that fails to close needs no further cleanup.
        }
    }
}
