import { InputError } from "@arbutusdoor/common";
import { unpack } from "msgpackr";
import * as z from "zod";
import { KEY_COUNT } from "./keyCount.js";
import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";
import type { OwnedRange } from "./ownedRange.js";
import { UNKNOWN_ENTRY } from "./unknownEntry.js";

const EncodedMap = z.tuple([
    z.int(),
    z.int(),
    z.array(z.tuple([z.string(), z.number()])),
    z.array(z.array(z.int())),
]);

/** Decodes a map that `encodeKeyMap` encoded. Throws an InputError when the bytes are not a valid map. */
export function decodeKeyMap(bytes: Uint8Array): KeyMap {
    const parsed = EncodedMap.safeParse(unpack(bytes));
    if (!parsed.success) {
        throw new InputError(`not a map of keys: ${parsed.error.issues[0]?.message}`);
    }
    const [term, fence, holders, entries] = parsed.data;
    const getHolder = (index: number | undefined): KeyHolder => {
        const holder = holders[index ?? -1];
        if (!holder) {
            throw new InputError("a range names a holder that is not listed");
        }
        return { id: holder[0] as KeyHolder["id"], startedAt: holder[1] };
    };
    const namedHolders = 1
        + Math.max(-1, ...entries.flatMap(([, owner = -1, , ...previous]) => [owner, ...previous]));
    const times = new Map(
        holders.slice(namedHolders).flatMap(([positions, time]) =>
            positions.split(" ").map((position): [number, number] => [Number(position), time])
        ),
    );
    let first = 0;
    const ranges = entries.map(([last = -1, owner, age = 0, ...previous], position): OwnedRange => {
        const previousUntil = times.get(position);
        const range = {
            first,
            last,
            owner: getHolder(owner),
            fence: fence - age,
            previous: previous.map(getHolder),
            ...(previousUntil !== undefined && { previousUntil }),
        };
        first = last + 1;
        return range;
    });
    if (ranges.length > 0 && first !== KEY_COUNT) {
        throw new InputError("the ranges do not cover all keys");
    }
    const unknown = holders.slice(namedHolders).find(([name]) => name === UNKNOWN_ENTRY);
    return { term, fence, ranges, ...(unknown && { unknownUntil: unknown[1] }) };
}
