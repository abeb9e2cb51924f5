import xxhash from "xxhash-wasm";

const { h64 } = await xxhash();

const UPPER_HALF_SHIFT = 32n;

/** Position of a key in the hash space of a keyed service: the upper 32 bits of its xxHash64, from 0 to 2^32 - 1. */
export function getKeyHash(key: string): number {
    return Number(h64(key) >> UPPER_HALF_SHIFT);
}
