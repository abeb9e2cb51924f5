import type { TableService } from "@arbutusdoor/clients";
import { ConfigurationHead } from "./configurationHead.js";
import { ConfigurationHistory } from "./configurationHistory.js";
import { CONFIGURATION_KEYS } from "./configurationKeys.js";
import type { StoredReading } from "./storedReading.js";

/** Reads the head and history rows at one moment, for a submission. */
export async function readStored(table: TableService): Promise<StoredReading> {
    const read = await table.read([CONFIGURATION_KEYS.head, CONFIGURATION_KEYS.history]);
    if (read.kind === "unavailable") {
        return read;
    }
    const [headRow, historyRow] = read.rows;
    const head = ConfigurationHead.optional().safeParse(headRow?.value);
    const history = ConfigurationHistory.prefault({ operations: [] }).safeParse(historyRow?.value);
    if (!head.success || !history.success) {
        return { kind: "malformed", reason: "the rows of the configuration cannot be read" };
    }
    const stored = {
        head: head.data,
        headRowVersion: headRow?.version ?? 0,
        history: history.data,
        historyRowVersion: historyRow?.version ?? 0,
    };
    return { kind: "stored", stored };
}
