import { isDeepStrictEqual } from "node:util";
import type { WatchedRow } from "./watchedRow.js";

/** Selects the rows whose content differs from their last one: most writes of a registry entry are heartbeats that change nothing. */
export class RowChangeFilter {
    /** The last content by key; bounded by the rows that are present. */
    private readonly contents = new Map<string, WatchedRow<unknown>["content"]>();

    /** Returns the changed rows in their order, and remembers their content. */
    select<Value>(rows: readonly WatchedRow<Value>[]): readonly WatchedRow<Value>[] {
        return rows.filter(({ content, key }) => {
            const isSame = isDeepStrictEqual(this.contents.get(key), content);
            if (content.kind === "absent") {
                this.contents.delete(key);
            }
            else {
                this.contents.set(key, content);
            }
            return !isSame;
        });
    }
}
