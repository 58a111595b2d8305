package org.jujubefork.standins.cell;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.file.Path;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.jujubefork.config.settings.DaemonSettingsReader;
import org.jujubefork.config.settings.InvalidSettingsException;
import org.jujubefork.entry.Daemon;
import org.jujubefork.standins.StandinProcess;
import org.jujubefork.standins.http.Reply;
import org.jujubefork.standins.http.StandinServer;

/**
 * Runs an entry whose peer traffic can be paused. Entries announce the addresses that they listen
 * on, so a test can't put a relay between two of them. Pausing the selectors of an entry instead
 * has the same effect as a network that delivers no peer traffic to it.
 */
public final class PausablePeersEntryMain {
    private PausablePeersEntryMain() {}

    /** Starts the entry; the only argument is the path of the settings file. */
    public static void main(String[] args)
            throws IOException,
                    InvalidSettingsException,
                    ReflectiveOperationException,
                    InterruptedException {
        Daemon daemon = Daemon.start(DaemonSettingsReader.read(Path.of(args[0])));
        TCPNIOTransport transport =
                (TCPNIOTransport) readField(readField(daemon, "peers"), "transport");
        StandinServer control =
                StandinServer.start(
                        0,
                        call -> {
                            if (call.text("on").equals("true")) {
                                transport.pause();
                            } else {
                                transport.resume();
                            }
                            return Reply.json(200, Reply.object());
                        });
        StandinProcess.runUntilKilled("entry", control.port());
    }

    private static Object readField(Object owner, String name) throws ReflectiveOperationException {
        Field field = owner.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(owner);
    }
}
