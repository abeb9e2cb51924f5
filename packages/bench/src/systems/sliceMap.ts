import { getKeyHash, type ServerId, type SliceId } from "@arbutusdoor/common";
import type { PlacedSlice } from "@arbutusdoor/policy";

const HASH_SPACE = 2 ** 32;

/** Which slice a key is in and which server a slice is on; slices of single keys come before hash ranges. */
export class SliceMap {
    private readonly owners = new Map<SliceId, ServerId>();
    private readonly singleKeys = new Map<string, SliceId>();
    private readonly slicesOfKeys = new Map<string, SliceId>();
    private readonly ranges: number;

    constructor(ranges: number, servers: readonly ServerId[]) {
        this.ranges = ranges;
        for (let index = 0; index < ranges; index++) {
            this.owners.set(`range-${index}` as SliceId, servers[index % servers.length]!);
        }
    }

    getSlice(key: string): SliceId {
        let slice = this.singleKeys.get(key) ?? this.slicesOfKeys.get(key);
        if (slice === undefined) {
            slice = `range-${Math.floor(getKeyHash(key) / HASH_SPACE * this.ranges)}` as SliceId;
            this.slicesOfKeys.set(key, slice);
        }
        return slice;
    }

    getOwner(slice: SliceId): ServerId {
        return this.owners.get(slice)!;
    }

    setOwner(slice: SliceId, server: ServerId): void {
        this.owners.set(slice, server);
    }

    /** Gives a key a slice of its own, on the server that has it. */
    split(key: string): void {
        const slice = `key-${key}` as SliceId;
        this.owners.set(slice, this.getOwner(this.getSlice(key)));
        this.singleKeys.set(key, slice);
    }

    /** The whole assignment. */
    list(keys: number): PlacedSlice[] {
        return [...this.owners].map(([slice, server]) => {
            const isSingleKey = slice.startsWith("key-");
            return { slice, server, isSingleKey, keyShare: isSingleKey ? 1 / keys : 1 / this.ranges };
        });
    }
}
