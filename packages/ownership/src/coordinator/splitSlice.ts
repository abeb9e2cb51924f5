import { getDigest, type SliceId } from "@arbutusdoor/common";
import type { Slice } from "../rows/slice.js";

const NAME_LENGTH = 16;
const GENERATIONS_PER_SPLIT = 2;

/**
 * Gives a key of an owned range a slice of its own with the same owner. The range continues under a new generation, so that requests for
 * the key that still name the range are refused. Both slices wait until the owner has ended what runs under the old generation.
 */
export function splitSlice(range: Slice, key: string): readonly Slice[] {
    if (!range.owner || range.former.length > 0 || range.key !== undefined) {
        return [range];
    }
    const former = [{ ...range.owner, slice: range.slice, fence: range.generation + 1 }];
    const generation = range.generation + GENERATIONS_PER_SPLIT;
    const name = `key-${getDigest(key).slice(0, NAME_LENGTH)}` as SliceId;
    return [{ ...range, generation, former }, { ...range, slice: name, key, generation, former }];
}
