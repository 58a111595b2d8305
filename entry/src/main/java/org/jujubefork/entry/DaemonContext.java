package org.jujubefork.entry;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jujubefork.client.http.Address;
import org.jujubefork.client.http.Transport;
import org.jujubefork.client.store.StoreClient;
import org.jujubefork.config.cell.CellReader;
import org.jujubefork.config.cell.PolicyNames;
import org.jujubefork.config.settings.DaemonSettings;
import org.jujubefork.config.settings.HostPort;
import org.jujubefork.core.control.EntryIdentity;
import org.jujubefork.core.control.State;
import org.jujubefork.core.control.Timing;
import org.jujubefork.core.fairshare.QueueOrders;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.placement.PlacementPolicies;
import org.jujubefork.entry.answers.RequestRegistry;
import org.jujubefork.entry.control.Clock;
import org.jujubefork.entry.control.ControlLoop;
import org.jujubefork.entry.platform.ConfigurationSource;
import org.jujubefork.entry.telemetry.DaemonMetrics;

/**
 * The objects shared by the components of a daemon.
 *
 * @param settings the settings of this entry
 * @param id the id of this entry with its incarnation
 * @param clock the clock that timestamps all events
 * @param random source of randomness for choices that should differ between entries
 * @param metrics the metrics of this entry
 * @param loop the control loop, not yet started
 * @param transport the HTTP client for workers, the store and the VM list
 * @param store the client of the store
 * @param reader reads configuration documents
 * @param configuration the latest configuration document
 * @param registry the open requests and their answer channels
 */
record DaemonContext(
        DaemonSettings settings,
        EntryId id,
        Clock clock,
        RandomGenerator random,
        DaemonMetrics metrics,
        ControlLoop loop,
        Transport transport,
        StoreClient store,
        CellReader reader,
        ConfigurationSource configuration,
        RequestRegistry registry) {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    static DaemonContext of(DaemonSettings settings, EntryId id) {
        Clock clock = Clock.SYSTEM;
        RandomGenerator random = RandomGenerator.getDefault();
        State initial = State.initial(identity(settings, id), timing(settings), clock.millis());
        ControlLoop loop = ControlLoop.of(initial, clock, random, settings.eventQueueCapacity());
        DaemonMetrics metrics = DaemonMetrics.create();
        metrics.registerStateMetrics(loop::state, loop::backlog, loop::rejectedEventCount);
        Transport transport = Transport.create(CONNECT_TIMEOUT);
        CellReader reader = cellReader();
        return new DaemonContext(
                settings,
                id,
                clock,
                random,
                metrics,
                loop,
                transport,
                new StoreClient(transport, toAddress(settings.storeAddress())),
                reader,
                new ConfigurationSource(reader, settings.region(), clock, loop),
                new RequestRegistry());
    }

    private static EntryIdentity identity(DaemonSettings settings, EntryId id) {
        return new EntryIdentity(
                id,
                Location.of(settings.region(), settings.zone(), ""),
                settings.httpAddress().toString(),
                settings.peerAddress().toString());
    }

    private static Timing timing(DaemonSettings settings) {
        return new Timing(
                settings.gossipIntervalMillis(),
                settings.suspectAfterMillis(),
                settings.deadAfterMillis(),
                settings.configurationFreshnessMillis(),
                settings.probeValidityMillis(),
                settings.leaseTtlMillis(),
                settings.renewIntervalMillis());
    }

    /** Returns a reader that accepts the names of the policies in this version of the code. */
    static CellReader cellReader() {
        return CellReader.of(policyNames());
    }

    private static PolicyNames policyNames() {
        return PolicyNames.of(
                List.copyOf(QueueOrders.names()), List.copyOf(PlacementPolicies.names()));
    }

    static Address toAddress(HostPort address) {
        return Address.of(address.host(), address.port());
    }
}
