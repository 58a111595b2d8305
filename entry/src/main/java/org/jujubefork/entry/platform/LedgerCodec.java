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
        ObjectNode teamsNode = RecordJson.newObject();
        ledger.rows()
                .forEach(
                        (team, shards) -> {
                            ObjectNode shardsNode = teamsNode.putObject(team.value());
                            shards.forEach(
                                    (shard, row) -> {
                                        ObjectNode rowNode =
                                                RecordJson.encodeResources(row.budget());
                                        rowNode.put("epoch", row.epoch().number());
                                        row.reducedFor()
                                                .ifPresent(
                                                        limit ->
                                                                rowNode.set(
                                                                        "reducedFor",
                                                                        RecordJson.encodeResources(
                                                                                limit)));
                                        rowNode.put("holder", row.epoch().holder().toString());
                                        shardsNode.set(shard.value(), rowNode);
                                    });
                        });
        return teamsNode.toString();
    }

    static Ledger decode(String text) throws MalformedRecordException {
        return RecordJson.decode("ledger", text, LedgerCodec::read);
    }

    private static Ledger read(JsonNode node) {
        Ledger ledger = Ledger.EMPTY;
        for (var teamField : node.properties()) {
            for (var shardField : RecordJson.requireObject(teamField.getValue()).properties()) {
                JsonNode rowNode = shardField.getValue();
                Epoch epoch =
                        Epoch.of(
                                RecordJson.number(rowNode, "epoch"),
                                EntryId.parse(RecordJson.text(rowNode, "holder")));
                ledger =
                        ledger.withRow(
                                TeamId.of(teamField.getKey()),
                                ShardId.of(shardField.getKey()),
                                new BudgetRow(
                                        epoch,
                                        RecordJson.decodeResources(rowNode),
                                        Optional.ofNullable(rowNode.get("reducedFor"))
                                                .map(RecordJson::decodeResources)));
            }
        }
        return ledger;
    }
}
