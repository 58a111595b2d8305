package org.jujubefork.entry.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;
import static org.testng.Assert.fail;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.jujubefork.core.membership.Heartbeat;
import org.jujubefork.core.membership.MemberRow;
import org.jujubefork.core.membership.ShardSummary;
import org.jujubefork.core.membership.TeamLoad;
import org.jujubefork.core.model.AttemptResult;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.Location;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RefusalReason;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.requests.ForwardedRequest;
import org.pcollections.PSortedMap;
import org.pcollections.PVector;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;
import org.testng.annotations.Test;

/** Guards against messages that the encoding alters, and malformed input that causes a crash. */
public final class FrameCodecTest {
    private static final long SEED = Long.getLong("jujubefork.seed", 7);
    private static final int ROUNDS = 300;

    private static EntryId entry(Random random) {
        return EntryId.of("e" + random.nextInt(9), random.nextInt(1_000_000));
    }

    private static Resources resources(Random random) {
        return Resources.of(random.nextInt(9_000), random.nextInt(90_000), random.nextInt(8));
    }

    private static PSortedMap<ShardId, ShardSummary> shards(Random random) {
        PSortedMap<ShardId, ShardSummary> shards = TreePMap.empty();
        for (int i = random.nextInt(3); i > 0; i--) {
            PSortedMap<TeamId, TeamLoad> teams = TreePMap.empty();
            for (int t = random.nextInt(3); t > 0; t--) {
                teams =
                        teams.plus(
                                TeamId.of("t" + t),
                                new TeamLoad(
                                        resources(random),
                                        resources(random),
                                        random.nextInt(100),
                                        random.nextBoolean()
                                                ? Optional.of(resources(random))
                                                : Optional.empty()));
            }
            ShardSummary summary =
                    new ShardSummary(
                            Epoch.of(1 + random.nextInt(50), entry(random)),
                            random.nextInt(100),
                            random.nextInt(100),
                            random.nextInt(100),
                            resources(random),
                            resources(random),
                            resources(random),
                            teams,
                            random.nextBoolean() ? Optional.of("e5") : Optional.empty());
            shards = shards.plus(ShardId.of("zone-" + i), summary);
        }
        return shards;
    }

    private static PVector<MemberRow> rows(Random random) {
        PVector<MemberRow> rows = TreePVector.empty();
        for (int i = random.nextInt(5); i > 0; i--) {
            rows =
                    rows.plus(
                            new MemberRow(
                                    entry(random),
                                    Location.of("r" + random.nextInt(2), "z", ""),
                                    "127.0.0.1:1000",
                                    "127.0.0.1:2000",
                                    random.nextInt(1_000),
                                    random.nextInt(1_000),
                                    random.nextInt(1_000),
                                    random.nextBoolean(),
                                    random.nextBoolean(),
                                    shards(random)));
        }
        return rows;
    }

    private static ForwardedRequest forwardedRequest(Random random) {
        return new ForwardedRequest(
                ShardId.of("zone-1"),
                QueueId.of("queue"),
                TeamId.of("team"),
                random.nextBoolean() ? WorkKind.LOOKUP : WorkKind.COMMAND,
                resources(random),
                random.nextBoolean(),
                random.nextInt(30_000),
                random.nextBoolean());
    }

    private static PeerMessage message(Random random) {
        return switch (random.nextInt(12)) {
            case 0 -> new PeerMessage.Hello(entry(random), "127.0.0.1:2000");
            case 1 ->
                    new PeerMessage.Gossip(
                            rows(random),
                            TreePVector.singleton(
                                    new Heartbeat(
                                            entry(random),
                                            random.nextInt(99),
                                            random.nextInt(99))));
            case 2 -> new PeerMessage.Probe(random.nextLong());
            case 3 -> new PeerMessage.ProbeReply(random.nextLong(), random.nextInt(99));
            case 4 ->
                    new PeerMessage.Forward("r-1", forwardedRequest(random), random.nextInt(1_000));
            case 5 -> new PeerMessage.ResponseComplete("text/plain", random.nextInt(1_000));
            case 6 ->
                    new PeerMessage.ResponseEnd(
                            AttemptResult.notRun(
                                    RefusalReason.DEADLINE_BEFORE_START, random.nextInt(99)));
            case 7 -> new PeerMessage.Credit(1 + random.nextInt(9));
            case 8 -> new PeerMessage.Cancel();
            case 9 -> new PeerMessage.ConfigurationPart("{\"ä\":1}", random.nextBoolean());
            case 10 -> new PeerMessage.ViewFetch("workers");
            default -> new PeerMessage.ProtocolError("why");
        };
    }

    @Test
    public void messagesSurviveTheRoundTrip() throws ProtocolException {
        Random random = new Random(SEED);
        for (int i = 0; i < ROUNDS; i++) {
            Frame frame = Frame.of(random.nextLong(), message(random));
            assertEquals(FrameCodec.decode(FrameCodec.encode(frame)), frame, "seed " + SEED);
        }
    }

    @Test
    public void bodiesSurviveTheRoundTrip() throws ProtocolException {
        byte[] bytes = new byte[Frame.MAX_CHUNK_BYTES];
        new Random(SEED).nextBytes(bytes);
        Frame body = FrameCodec.decode(FrameCodec.encode(Frame.of(1, bodyChunk(bytes))));
        assertEquals(((PeerMessage.BodyChunk) body.message()).bytes(), bytes);
    }

    private static PeerMessage bodyChunk(byte[] bytes) {
        return new PeerMessage.BodyChunk(bytes);
    }

    /** Decodes {@code bytes} and fails on any exception other than {@link ProtocolException}. */
    private static void assertDecodesOrProtocolError(byte[] bytes, String description) {
        try {
            FrameCodec.decode(bytes);
        } catch (ProtocolException e) {
            assertTrue(!e.getMessage().isEmpty());
        } catch (RuntimeException | Error e) {
            fail(description + ", bytes " + Arrays.toString(bytes), e);
        }
    }

    @Test
    public void truncatedFramesAreProtocolErrors() {
        Random random = new Random(SEED);
        for (int i = 0; i < ROUNDS; i++) {
            byte[] bytes = FrameCodec.encode(Frame.of(1, message(random)));
            byte[] part = Arrays.copyOf(bytes, random.nextInt(bytes.length));
            assertThrows(ProtocolException.class, () -> FrameCodec.decode(part));
        }
    }

    @Test
    public void alteredFramesAreProtocolErrorsOrOtherMessages() {
        Random random = new Random(SEED);
        for (int i = 0; i < ROUNDS * 20; i++) {
            byte[] bytes = FrameCodec.encode(Frame.of(1, message(random)));
            for (int flips = 1 + random.nextInt(4); flips > 0; flips--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            assertDecodesOrProtocolError(bytes, "altered, seed " + SEED + " round " + i);
        }
    }

    @Test
    public void randomPayloadsAreProtocolErrorsOrMessages() {
        Random random = new Random(SEED);
        for (int i = 0; i < ROUNDS * 20; i++) {
            byte[] bytes = new byte[random.nextInt(80)];
            random.nextBytes(bytes);
            if (bytes.length > 1) {
                bytes[0] = (byte) Frame.PROTOCOL_VERSION;
                bytes[1] = (byte) (1 + random.nextInt(16));
            }
            assertDecodesOrProtocolError(bytes, "random, seed " + SEED + " round " + i);
        }
    }

    /**
     * Guards against a short frame that makes the receiver allocate the 2 GiB that it announces.
     */
    @Test
    public void excessiveAnnouncedLengthsAreRejected() {
        byte[] start = FrameCodec.encode(Frame.of(1, new PeerMessage.ProtocolError("")));
        for (int format : List.of(0xdb, 0xc6, 0xdd, 0xdf)) {
            for (int type = 1; type <= 14; type++) {
                byte[] bytes = Arrays.copyOf(start, 15);
                bytes[1] = (byte) type;
                bytes[10] = (byte) format;
                bytes[11] = 0x7f;
                Arrays.fill(bytes, 12, 15, (byte) 0xff);
                assertThrows(ProtocolException.class, () -> FrameCodec.decode(bytes));
            }
        }
    }

    @Test
    public void anotherVersionIsRejectedNamingBothVersions() {
        byte[] bytes = FrameCodec.encode(Frame.of(1, new PeerMessage.Cancel()));
        bytes[0] = 99;
        String text =
                expectThrows(ProtocolException.class, () -> FrameCodec.decode(bytes)).getMessage();
        assertTrue(text.contains("99") && text.contains("" + Frame.PROTOCOL_VERSION), text);
    }

    @Test
    public void bytesAfterTheMessageAreRejected() {
        byte[] bytes = FrameCodec.encode(Frame.of(1, new PeerMessage.Probe(5)));
        byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
        assertThrows(ProtocolException.class, () -> FrameCodec.decode(longer));
    }
}
