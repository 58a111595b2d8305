package org.jujubefork.entry.peer;

import java.io.IOException;
import java.util.Optional;
import org.jujubefork.core.membership.Heartbeat;
import org.jujubefork.core.membership.MemberRow;
import org.jujubefork.core.membership.ShardSummary;
import org.jujubefork.core.membership.TeamLoad;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.pcollections.PSortedMap;
import org.pcollections.PVector;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

/** Encodes and decodes the membership rows and heartbeats of gossip as MessagePack. */
final class RowCodec {
    /** Longest accepted list or map, so that a malformed frame cannot exhaust memory. */
    private static final int MAX_ELEMENTS = 10_000;

    private RowCodec() {}

    static void writeRows(MessagePacker out, PVector<MemberRow> rows) throws IOException {
        out.packArrayHeader(rows.size());
        for (MemberRow row : rows) {
            writeRow(out, row);
        }
    }

    static PVector<MemberRow> readRows(MessageUnpacker in) throws IOException {
        int count = checkedCount(in.unpackArrayHeader());
        PVector<MemberRow> rows = TreePVector.empty();
        for (int i = 0; i < count; i++) {
            rows = rows.plus(readRow(in));
        }
        return rows;
    }

    static void writeHeartbeats(MessagePacker out, PVector<Heartbeat> heartbeats)
            throws IOException {
        out.packArrayHeader(heartbeats.size());
        for (Heartbeat heartbeat : heartbeats) {
            out.packString(heartbeat.id().toString());
            out.packLong(heartbeat.heartbeat());
            out.packLong(heartbeat.ageMillis());
        }
    }

    static PVector<Heartbeat> readHeartbeats(MessageUnpacker in) throws IOException {
        int count = checkedCount(in.unpackArrayHeader());
        PVector<Heartbeat> heartbeats = TreePVector.empty();
        for (int i = 0; i < count; i++) {
            EntryId id = EntryId.parse(in.unpackString());
            heartbeats = heartbeats.plus(new Heartbeat(id, in.unpackLong(), in.unpackLong()));
        }
        return heartbeats;
    }

    private static int checkedCount(int elements) throws ProtocolException {
        if (elements > MAX_ELEMENTS) {
            throw new ProtocolException("a list has " + elements + " elements, more than allowed");
        }
        return elements;
    }

    private static void writeRow(MessagePacker out, MemberRow row) throws IOException {
        out.packString(row.id().toString());
        out.packString(row.location().region());
        out.packString(row.location().zone());
        out.packString(row.httpAddress());
        out.packString(row.peerAddress());
        out.packLong(row.heartbeat());
        out.packLong(row.revision());
        out.packLong(row.configurationVersion());
        out.packBoolean(row.storeReachable());
        out.packBoolean(row.leaving());
        out.packMapHeader(row.shards().size());
        for (var entry : row.shards().entrySet()) {
            out.packString(entry.getKey().value());
            writeSummary(out, entry.getValue());
        }
    }

    private static MemberRow readRow(MessageUnpacker in) throws IOException {
        EntryId id = EntryId.parse(in.unpackString());
        Location location = Location.of(in.unpackString(), in.unpackString(), "");
        return new MemberRow(
                id,
                location,
                in.unpackString(),
                in.unpackString(),
                in.unpackLong(),
                in.unpackLong(),
                in.unpackLong(),
                in.unpackBoolean(),
                in.unpackBoolean(),
                readSummaries(in));
    }

    private static PSortedMap<ShardId, ShardSummary> readSummaries(MessageUnpacker in)
            throws IOException {
        int count = checkedCount(in.unpackMapHeader());
        PSortedMap<ShardId, ShardSummary> shards = TreePMap.empty();
        for (int i = 0; i < count; i++) {
            shards = shards.plus(ShardId.of(in.unpackString()), readSummary(in));
        }
        return shards;
    }

    private static void writeSummary(MessagePacker out, ShardSummary summary) throws IOException {
        out.packLong(summary.epoch().number());
        out.packString(summary.epoch().holder().toString());
        out.packInt(summary.workers());
        out.packInt(summary.freeSlots());
        out.packInt(summary.queuedRequests());
        writeResources(out, summary.capacity());
        writeResources(out, summary.free());
        writeResources(out, summary.largestFree());
        out.packMapHeader(summary.teams().size());
        for (var entry : summary.teams().entrySet()) {
            out.packString(entry.getKey().value());
            writeResources(out, entry.getValue().running());
            writeResources(out, entry.getValue().waiting());
            out.packInt(entry.getValue().queued());
            writeBudget(out, entry.getValue().budget());
        }
        out.packString(summary.handoverTo().orElse(""));
    }

    private static ShardSummary readSummary(MessageUnpacker in) throws IOException {
        Epoch epoch = Epoch.of(in.unpackLong(), EntryId.parse(in.unpackString()));
        return new ShardSummary(
                epoch,
                in.unpackInt(),
                in.unpackInt(),
                in.unpackInt(),
                readResources(in),
                readResources(in),
                readResources(in),
                readTeams(in),
                Optional.of(in.unpackString()).filter(name -> !name.isEmpty()));
    }

    private static PSortedMap<TeamId, TeamLoad> readTeams(MessageUnpacker in) throws IOException {
        int count = checkedCount(in.unpackMapHeader());
        PSortedMap<TeamId, TeamLoad> teams = TreePMap.empty();
        for (int i = 0; i < count; i++) {
            TeamId team = TeamId.of(in.unpackString());
            teams =
                    teams.plus(
                            team,
                            new TeamLoad(
                                    readResources(in),
                                    readResources(in),
                                    in.unpackInt(),
                                    readBudget(in)));
        }
        return teams;
    }

    private static void writeBudget(MessagePacker out, Optional<Resources> budget)
            throws IOException {
        if (budget.isPresent()) {
            writeResources(out, budget.get());
        } else {
            out.packNil();
        }
    }

    private static Optional<Resources> readBudget(MessageUnpacker in) throws IOException {
        return in.tryUnpackNil() ? Optional.empty() : Optional.of(readResources(in));
    }

    static void writeResources(MessagePacker out, Resources resources) throws IOException {
        out.packLong(resources.cpuMillis());
        out.packLong(resources.memoryMb());
        out.packLong(resources.accelerators());
    }

    static Resources readResources(MessageUnpacker in) throws IOException {
        return Resources.of(in.unpackLong(), in.unpackLong(), in.unpackLong());
    }
}
