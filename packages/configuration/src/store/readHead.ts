import type { TableService } from "@arbutusdoor/clients";
import { ConfigurationHead } from "./configurationHead.js";
import { CONFIGURATION_KEYS } from "./configurationKeys.js";
import type { HeadReading } from "./headReading.js";

/** Reads only the head row, for a poll. */
export async function readHead(table: TableService): Promise<HeadReading> {
    const read = await table.read([CONFIGURATION_KEYS.head]);
    if (read.kind === "unavailable") {
        return read;
    }
    const head = ConfigurationHead.optional().safeParse(read.rows[0]?.value);
    if (!head.success) {
        return { kind: "malformed", reason: "the head row cannot be read" };
    }
    return { kind: "head", head: head.data };
}
