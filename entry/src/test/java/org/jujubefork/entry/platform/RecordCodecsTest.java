package org.jujubefork.entry.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.fail;

import java.util.Optional;
import java.util.Random;
import org.jujubefork.core.jobs.JobDefinition;
import org.jujubefork.core.jobs.JobPart;
import org.jujubefork.core.jobs.JobRecord;
import org.jujubefork.core.jobs.JobState;
import org.jujubefork.core.limits.BudgetRow;
import org.jujubefork.core.limits.Ledger;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.JobId;
import org.jujubefork.core.model.QueueId;
import org.jujubefork.core.model.RequestId;
import org.jujubefork.core.model.Resources;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;
import org.jujubefork.core.model.WorkKind;
import org.jujubefork.core.requests.ClaimRecord;
import org.jujubefork.core.requests.ClaimState;
import org.pcollections.TreePMap;
import org.pcollections.TreePSet;
import org.pcollections.TreePVector;
import org.testng.annotations.Test;

/** Guards against records that change when encoded, and damaged records decoded as valid ones. */
public final class RecordCodecsTest {
    private static final long SEED = Long.getLong("jujubefork.seed", 7);
    private static final int ROUND_COUNT = 200;

    /** Decodes one kind of record. */
    private interface Decoder {
        Object decode(String text) throws MalformedRecordException;
    }

    private static Resources randomResources(Random random) {
        return Resources.of(1 + random.nextInt(9_000), random.nextInt(90_000), random.nextInt(8));
    }

    private static JobRecord randomJob(Random random) {
        int tasks = 2 + random.nextInt(50);
        int splitIndex = 1 + random.nextInt(tasks - 1);
        return new JobRecord(
                new JobDefinition(
                        JobId.of("job-" + random.nextInt(99)),
                        TeamId.of("team"),
                        QueueId.of("queue"),
                        WorkKind.BATCH,
                        "näme \"quoted\"",
                        tasks,
                        randomResources(random),
                        "{\"a\":1}",
                        random.nextInt(1_000_000)),
                JobState.ACTIVE,
                "",
                TreePVector.singleton(JobPart.of(ShardId.of("zone-0"), 0, splitIndex))
                        .plus(JobPart.of(ShardId.of("zone-1"), splitIndex, tasks)),
                TreePSet.singleton(0),
                TreePMap.singleton(1, 2),
                1 + random.nextInt(3),
                TreePMap.singleton(1, 0.5));
    }

    private static Ledger randomLedger(Random random) {
        Ledger ledger = Ledger.EMPTY;
        for (int i = 1 + random.nextInt(6); i > 0; i--) {
            ledger =
                    ledger.withRow(
                            TeamId.of("t" + random.nextInt(3)),
                            ShardId.of("z" + random.nextInt(3)),
                            new BudgetRow(
                                    Epoch.of(1 + random.nextInt(9), EntryId.of("e1", 5)),
                                    randomResources(random)));
        }
        return ledger;
    }

    private static ClaimCodec.StoredClaim storedClaim() {
        ClaimRecord record =
                new ClaimRecord(RequestId.of("r-1"), EntryId.of("e1", 5), ClaimState.DONE);
        return new ClaimCodec.StoredClaim(
                record, "text/plain", Optional.of(StoreText.encode("body")));
    }

    @Test
    public void recordsRoundTrip() throws MalformedRecordException {
        Random random = new Random(SEED);
        for (int i = 0; i < ROUND_COUNT; i++) {
            JobRecord job = randomJob(random);
            assertEquals(JobCodec.decode(JobCodec.encode(job)), job, "seed " + SEED);
            Ledger ledger = randomLedger(random);
            assertEquals(LedgerCodec.decode(LedgerCodec.encode(ledger)), ledger, "seed " + SEED);
        }
        ClaimCodec.StoredClaim decoded = ClaimCodec.decode(ClaimCodec.encode(storedClaim()));
        assertEquals(decoded.record(), storedClaim().record());
        assertEquals(StoreText.decode(decoded.body().orElseThrow()), "body");
    }

    @Test
    public void otherJsonIsNotDecodedAsAnEmptyRecord() {
        for (String text : new String[] {"", "null", "[]", "5", "\"x\"", "{\"t\":5}", "{} {}"}) {
            assertThrows(MalformedRecordException.class, () -> LedgerCodec.decode(text));
            assertThrows(MalformedRecordException.class, () -> JobCodec.decode(text));
            assertThrows(MalformedRecordException.class, () -> ClaimCodec.decode(text));
        }
    }

    @Test
    public void invalidTaskCountsAreRejected() {
        String job = JobCodec.encode(randomJob(new Random(SEED)));
        for (String value : new String[] {"\"7\"", "1.5", "null", "99999999999", "[]"}) {
            String corrupted = job.replaceFirst("\"tasks\":\\d+", "\"tasks\":" + value);
            assertThrows(MalformedRecordException.class, () -> JobCodec.decode(corrupted));
        }
    }

    @Test
    public void corruptedRecordsCauseNoOtherException() {
        Random random = new Random(SEED);
        for (int i = 0; i < ROUND_COUNT * 10; i++) {
            decodeCorrupted(JobCodec::decode, corrupt(JobCodec.encode(randomJob(random)), random));
            decodeCorrupted(
                    LedgerCodec::decode, corrupt(LedgerCodec.encode(randomLedger(random)), random));
            decodeCorrupted(ClaimCodec::decode, corrupt(ClaimCodec.encode(storedClaim()), random));
        }
    }

    private static String corrupt(String text, Random random) {
        int position = random.nextInt(text.length());
        return switch (random.nextInt(3)) {
            case 0 -> text.substring(0, position);
            case 1 -> text.substring(0, position) + text.substring(position + 1);
            default ->
                    text.substring(0, position)
                            + "{}[]\",:19x".charAt(random.nextInt(10))
                            + text.substring(position + 1);
        };
    }

    private static void decodeCorrupted(Decoder decoder, String text) {
        try {
            decoder.decode(text);
        } catch (MalformedRecordException e) {
            assertEquals(e.getMessage().isEmpty(), false);
        } catch (RuntimeException e) {
            fail("seed " + SEED + ": " + text, e);
        }
    }
}
