import type { Clock, Milliseconds, ServiceId } from "@arbutusdoor/common";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { ServerDirectory } from "../discovery/serverDirectory.js";
import { KEY_COUNT } from "../ownership/keyCount.js";
import type { KeyMap } from "../ownership/keyMap.js";
import type { OwnedRange } from "../ownership/ownedRange.js";
import type { TableView } from "../store/tableView.js";
import type { ServerAdmission } from "./serverAdmission.js";

/**
 * Without a link to the coordinator, a new owner gets requests after this time even if it has not been confirmed, as the confirmation does not
 * reach this host.
 */
const PRESUMED_HELD_MS = 1_500;
/**
 * The same with a link, on which all confirmations arrive: longer than an earlier owner can hold a range. An owner that waits for an earlier
 * one refuses requests, and each refusal uses up the retry budget.
 */
const LINKED_PRESUMED_HELD_MS = 12_000;
const MAX_SERVICES = 256;

/**
 * Where a keyed request can go: `owner`; `moving` (the owner does not hold the key yet, is leaving or is not registered); `quiet` (the
 * owner wants no requests for a time); `cold` (this host must not send to the owner for a time); `none` (no key map of the service is known).
 */
type KeyLookup =
    | {
        readonly kind: "owner";
        readonly server: RegisteredServer;
        /** Fencing token of the range. */
        readonly fence: number;
        /** How long this host has known this owner. */
        readonly knownMs: Milliseconds;
    }
    | { readonly kind: "moving"; }
    | { readonly kind: "quiet" | "cold"; readonly timeLeft: Milliseconds; }
    | { readonly kind: "none"; };

/** The map of one service, indexed by key. */
type RoutedKeys = {
    readonly map: KeyMap;
    /** Position of each key's range in the map. */
    readonly index: Uint16Array;
    /** When the fencing token of each range was first seen, by position. */
    readonly since: readonly Milliseconds[];
    readonly held: Uint8Array;
};

/** Finds the server of a key by the committed key maps and the coordinator's confirmations that owners hold their ranges. */
export class KeyRouting {
    private readonly view: TableView<KeyMap>;
    private readonly directory: ServerDirectory;
    private readonly clock: Clock;
    private readonly admission: ServerAdmission;
    private readonly isLinked: () => boolean;
    private readonly services = new Map<ServiceId, RoutedKeys>();
    private readonly waiting = new Set<() => void>();

    /** @param isLinked whether the coordinator's confirmations reach this host */
    constructor(
        view: TableView<KeyMap>,
        directory: ServerDirectory,
        clock: Clock,
        admission: ServerAdmission,
        isLinked: () => boolean,
    ) {
        this.view = view;
        this.directory = directory;
        this.clock = clock;
        this.admission = admission;
        this.isLinked = isLinked;
        view.onChange(changed => {
            for (const { content, key } of changed) {
                if (content.kind === "value") {
                    this.handleMap(key as ServiceId, content.value);
                }
            }
        });
    }

    /** Whether a key map is known, or it is known that there is none. */
    get isKnown(): boolean {
        return this.view.asOf >= 0 || this.services.size > 0;
    }

    /** Returns where a request for a key can go now. */
    find(service: ServiceId, key: number): KeyLookup {
        const routed = this.services.get(service);
        const position = routed?.index[key];
        const range = position === undefined ? undefined : routed?.map.ranges[position];
        if (!routed || position === undefined || !range) {
            return { kind: "none" };
        }
        // Nobody held a range without earlier owners, so that its first grant waits for nothing.
        const isConfirmationDue = range.previous.length > 0 && this.isLinked();
        const presumedAfter = isConfirmationDue ? LINKED_PRESUMED_HELD_MS : PRESUMED_HELD_MS;
        const isHeld = routed.held[position] === 1
            || this.clock.now() - routed.since[position]! >= presumedAfter;
        if (!isHeld) {
            return { kind: "moving" };
        }
        const server = this.directory.find(range.owner);
        if (!server || this.admission.isDeparted(server)) {
            return { kind: "moving" };
        }
        const timeLeft = this.admission.getQuietTime(server);
        if (timeLeft > 0) {
            return { kind: "quiet", timeLeft };
        }
        const coldWait = this.admission.getOwnerWait(server);
        if (coldWait > 0) {
            return { kind: "cold", timeLeft: coldWait };
        }
        return {
            kind: "owner",
            server,
            fence: range.fence,
            knownMs: this.clock.now() - routed.since[position]!,
        };
    }

    /** Records the coordinator's confirmation that owners hold ranges. */
    recordHeld(service: ServiceId, ranges: readonly (readonly [first: number, fence: number])[]): void {
        const routed = this.services.get(service);
        if (!routed) {
            return;
        }
        for (const [first, fence] of ranges) {
            const position = routed.index[first];
            if (position !== undefined && routed.map.ranges[position]?.fence === fence) {
                routed.held[position] = 1;
            }
        }
        this.notifyWaiting();
    }

    /** Resolves at the next change of ownership, or once `limit` has passed. */
    waitForChange(limit: Milliseconds): Promise<void> {
        return new Promise(resolve => {
            const timer = this.clock.schedule(limit, () => finish());
            const finish = () => {
                timer.cancel();
                this.waiting.delete(finish);
                resolve();
            };
            this.waiting.add(finish);
        });
    }

    private handleMap(service: ServiceId, map: KeyMap): void {
        const before = this.services.get(service);
        if (!before && this.services.size >= MAX_SERVICES) {
            return;
        }
        const now = this.clock.now();
        const index = new Uint16Array(KEY_COUNT);
        const held = new Uint8Array(map.ranges.length);
        const since = map.ranges.map((range, position) => {
            index.fill(position, range.first, range.last + 1);
            const earlier = before && getRange(before, range.first);
            const isSame = earlier !== undefined && earlier.range.fence === range.fence;
            held[position] = isSame ? before!.held[earlier.position]! : 0;
            return isSame ? before!.since[earlier.position]! : now;
        });
        if (!before) {
            // The first map that this host receives: its ranges without previous owners have long been granted.
            held.fill(1);
            map.ranges.forEach((range, position) => {
                held[position] = range.previous.length === 0 ? 1 : 0;
            });
        }
        this.services.set(service, { map, index, since, held });
        this.notifyWaiting();
    }

    private notifyWaiting(): void {
        [...this.waiting].forEach(finish => finish());
    }
}

function getRange(routed: RoutedKeys, key: number): { range: OwnedRange; position: number; } | undefined {
    const position = routed.index[key];
    const range = position === undefined ? undefined : routed.map.ranges[position];
    return range && { range, position: position! };
}
