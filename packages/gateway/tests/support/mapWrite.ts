import type { Milliseconds } from "@arbutusdoor/common";
import type { KeyMap } from "../../src/ownership/keyMap.js";

/** A write of a map; it takes effect if the row still has the version that it names. */
export type MapWrite = {
    readonly map: KeyMap;
    readonly version: number;
    readonly dueAt: Milliseconds;
    readonly endsAt: Milliseconds;
    readonly kind: "answered" | "unanswered" | "refused";
};
