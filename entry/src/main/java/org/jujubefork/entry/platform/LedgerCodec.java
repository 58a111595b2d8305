package org.jujubefork.entry.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.jujubefork.core.limits.BudgetRow;
import org.jujubefork.core.limits.Ledger;
import org.jujubefork.core.model.EntryId;
import org.jujubefork.core.model.Epoch;
import org.jujubefork.core.model.ShardId;
import org.jujubefork.core.model.TeamId;

/** Encodes and decodes the ledger as JSON. */
final class LedgerCodec {
    private LedgerCodec() {}

    static String encode(Ledger ledger) {
        ObjectNode teams = RecordJson.newObject();
        ledger.rows()
                .forEach(
                        (team, shards) -> {
                            ObjectNode rows = teams.putObject(team.value());
                            shards.forEach(
                                    (shard, row) -> {
                                        ObjectNode node = RecordJson.encodeResources(row.budget());
                                        node.put("epoch", row.epoch().number());
                                        row.reducedFor()
                                                .ifPresent(
                                                        limit ->
                                                                node.set(
                                                                        "reducedFor",
                                                                        RecordJson.encodeResources(
                                                                                limit)));
                                        node.put("holder", row.epoch().holder().toString());
                                        rows.set(shard.value(), node);
                                    });
                        });
        return teams.toString();
    }

    static Ledger decode(String text) throws MalformedRecordException {
        return RecordJson.decode("ledger", text, LedgerCodec::read);
    }

    private static Ledger read(JsonNode node) {
        Ledger ledger = Ledger.EMPTY;
        for (var team : node.properties()) {
            for (var shard : RecordJson.requireObject(team.getValue()).properties()) {
                JsonNode row = shard.getValue();
                Epoch epoch =
                        Epoch.of(
                                RecordJson.number(row, "epoch"),
                                EntryId.parse(RecordJson.text(row, "holder")));
                ledger =
                        ledger.withRow(
                                TeamId.of(team.getKey()),
                                ShardId.of(shard.getKey()),
                                new BudgetRow(
                                        epoch,
                                        RecordJson.decodeResources(row),
                                        Optional.ofNullable(row.get("reducedFor"))
                                                .map(RecordJson::decodeResources)));
            }
        }
        return ledger;
    }
}
