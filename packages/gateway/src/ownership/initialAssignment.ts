import type { Milliseconds } from "@arbutusdoor/common";
import { assignInitialKeys } from "./assignInitialKeys.js";
import type { KeyMap } from "./keyMap.js";
import type { ServerCapacity } from "./serverCapacity.js";

/**
 * The initial assignment waits until the number of servers has been stable for this long: when all start, they register within some 3 s.
 */
const SETTLE_MS = 1_500;

/** Assigns the keys of a service that has no map yet, once its servers have registered. */
export class InitialAssignment {
    private readonly stripeKeys: number;
    private expected: { readonly servers: number; readonly since: Milliseconds; } | undefined;

    constructor(stripeKeys: number) {
        this.stripeKeys = stripeKeys;
    }

    /** Returns the first map; `undefined` while servers are still registering. */
    create(
        servers: readonly ServerCapacity[],
        term: number,
        fence: number,
        now: Milliseconds,
    ): KeyMap | undefined {
        if (servers.length === 0) {
            return undefined;
        }
        if (this.expected?.servers !== servers.length) {
            this.expected = { servers: servers.length, since: now };
        }
        return now - this.expected.since < SETTLE_MS
            ? undefined
            : assignInitialKeys(servers.map(({ holder }) => holder), this.stripeKeys, term, fence);
    }
}
