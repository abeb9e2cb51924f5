import type { LogFields, Logger } from "@arbutusdoor/common";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { RowsOrigin } from "../store/rowsOrigin.js";
import type { WatchedRow } from "../store/watchedRow.js";

/** Logs servers' registry entries when their state has changed; most writes of an entry are heartbeats that change nothing. */
export class EntryLog {
    private readonly logger: Logger;
    private readonly recordNews: (origin: RowsOrigin) => LogFields;
    /** The state last logged, by server; bounded by the number of entries. */
    private readonly loggedStates = new Map<string, string>();

    /** @param recordNews records how late the departure of a server was learned of; returns fields for its log line */
    constructor(logger: Logger, recordNews: (origin: RowsOrigin) => LogFields) {
        this.logger = logger;
        this.recordNews = recordNews;
    }

    /** Logs an entry if its state has changed. */
    record({ content, key, version }: WatchedRow<RegisteredServer>, origin: RowsOrigin): void {
        const state = describe(content);
        if (this.loggedStates.get(key) === state) {
            return;
        }
        if (content.kind === "absent") {
            this.loggedStates.delete(key);
        }
        else {
            this.loggedStates.set(key, state);
        }
        if (content.kind === "unreadable") {
            this.logger.log("entryUnreadable", { server: key, row: version, reason: content.reason });
        }
        else if (content.kind === "value" && !content.value.isDraining) {
            const { address, service, startedAt } = content.value;
            this.logger.log("serverRegistered", { server: key, service, address, startedAt, row: version });
        }
        else {
            const news = this.recordNews(origin);
            this.logger.log("serverLeaving", { server: key, state, row: version, ...news });
        }
    }
}

/** Returns a text of the state of an entry whose changes are logged. */
function describe(content: WatchedRow<RegisteredServer>["content"]): string {
    if (content.kind !== "value") {
        return content.kind === "absent" ? "entry gone" : content.reason;
    }
    const { address, isDraining, startedAt } = content.value;
    return isDraining ? "draining" : `ready at ${address} since ${startedAt}`;
}
