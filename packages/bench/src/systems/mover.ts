import type { Clock, Milliseconds, RandomSource, SliceId } from "@arbutusdoor/common";
import type { Move } from "@arbutusdoor/policy";
import type { KeyedSystem } from "./keyedSystem.js";
import type { SliceMap } from "./sliceMap.js";

/** Shortest and longest time that a slice is refused while it moves: fence, commit and grant. */
const MIN_MOVE_MS = 40;
const MAX_MOVE_MS = 160;

/** Carries out planned moves; meanwhile requests for the slice are refused. */
export class Mover {
    readonly moved: { readonly slice: SliceId; readonly at: Milliseconds; }[] = [];
    /** Share of the keys times the time that it was unavailable. */
    unavailableMs: Milliseconds = 0;
    /** Sum of the shares of the keys that moved. */
    keyShareMoved = 0;
    private readonly clock: Clock;
    private readonly random: RandomSource;
    private readonly system: KeyedSystem;
    private readonly slices: SliceMap;
    private readonly keys: number;

    constructor(clock: Clock, random: RandomSource, system: KeyedSystem, slices: SliceMap, keys: number) {
        this.clock = clock;
        this.random = random;
        this.system = system;
        this.slices = slices;
        this.keys = keys;
    }

    carryOut(move: Move): void {
        if (move.kind === "split") {
            this.slices.split(move.key);
            return;
        }
        const duration = MIN_MOVE_MS + this.random.nextFraction() * (MAX_MOVE_MS - MIN_MOVE_MS);
        const share = this.slices.list(this.keys).find(({ slice }) => slice === move.slice)?.keyShare ?? 0;
        this.moved.push({ slice: move.slice, at: this.clock.now() });
        this.keyShareMoved += share;
        this.unavailableMs += share * duration;
        this.system.moving.add(move.slice);
        this.clock.schedule(duration, () => {
            this.slices.setOwner(move.slice, move.to);
            this.system.moving.delete(move.slice);
        });
    }
}
