const OFFSET_BASIS = 2_166_136_261;
const PRIME = 16_777_619;

/**
 * Returns a 32-bit hash of a short name, from 0 to 2^32 - 1: FNV-1a with a final mix, as names that differ only at their end would otherwise
 * get similar hashes. Unlike the hash of keys it needs no WebAssembly, so that the platform's program can use it.
 */
export function getNameHash(name: string): number {
    let hash = OFFSET_BASIS;
    for (let index = 0; index < name.length; index++) {
        hash = Math.imul(hash ^ name.charCodeAt(index), PRIME);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85eb_ca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2_ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
