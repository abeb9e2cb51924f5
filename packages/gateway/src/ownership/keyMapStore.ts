import type { Logger, ServiceId } from "@arbutusdoor/common";
import type { RowTable } from "../store/rowTable.js";
import type { WatchedRow } from "../store/watchedRow.js";
import type { KeyMap } from "./keyMap.js";

/** Dependencies of the store of one map. */
type KeyMapStoreParts = {
    readonly service: ServiceId;
    readonly logger: Logger;
    readonly table: RowTable<KeyMap>;
    /** Called after a map is committed. */
    readonly onCommitted: (row: WatchedRow<KeyMap>, era: number) => void;
};

/** Reads and writes the row of one service's map. Every write names the version that it replaces. */
export class KeyMapStore {
    private readonly parts: KeyMapStoreParts;
    private current = 0;
    /** Era of the store to which the version belongs. */
    private era = 0;
    /** Whether a write without an answer may still take effect; it can while the row has the version that the write names. */
    private isUnsettled = false;

    constructor(parts: KeyMapStoreParts) {
        this.parts = parts;
    }

    /** Version of the row as last read or written. */
    get version(): number {
        return this.current;
    }

    /**
     * Returns the committed map, an empty one when there is none yet; `undefined` when it cannot be read now.
     *
     * @param era era in which the map must be read
     */
    async read(era = 0): Promise<KeyMap | undefined> {
        const { logger, service, table } = this.parts;
        const read = await table.readRow(service);
        if (read.kind === "unavailable" || (read.era ?? 0) !== era) {
            return undefined;
        }
        const { content, version } = read.row;
        if (content.kind === "unreadable") {
            logger.log("keysNotWritten", { service, reason: content.reason });
            return undefined;
        }
        // A write of an earlier era that takes effect in this one leaves a term of the earlier era, by which it is known.
        this.isUnsettled &&= version === this.current && era === this.era;
        this.current = version;
        this.era = era;
        return content.kind === "value" ? content.value : { term: 0, fence: 0, ranges: [] };
    }

    /**
     * Writes a map. Returns `committed`; `notRun` (nothing was or will be written); or `replaced` (the row has or may still get another
     * version, since another write came first, or the answer to this write or an earlier one was lost: the row must be read before anything
     * else is decided). The outcome of a write that the store carried out in another era is `replaced`.
     */
    async write(map: KeyMap): Promise<"committed" | "notRun" | "replaced"> {
        const { logger, service, table } = this.parts;
        const outcome = await table.write(service, this.current, map);
        if (outcome.kind === "committed" && (outcome.era ?? 0) === this.era) {
            this.current = outcome.version;
            this.isUnsettled = false;
            this.announce(map);
            return "committed";
        }
        logger.log("keysNotWritten", { service, outcome: outcome.kind });
        this.isUnsettled ||= outcome.kind === "unknown";
        return outcome.kind === "notRun" && !this.isUnsettled ? "notRun" : "replaced";
    }

    /** Reports the map that is committed at the current version. */
    announce(map: KeyMap): void {
        this.parts.onCommitted(
            { key: this.parts.service, version: this.current, content: { kind: "value", value: map } },
            this.era,
        );
    }
}
