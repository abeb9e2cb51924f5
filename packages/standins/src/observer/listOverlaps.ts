/** A stretch of time at one holder. */
type Stretch = {
    readonly holder: string;
    readonly from: number;
    readonly until: number;
};

/** Pairs of stretches of different holders that overlap by more than a tolerance, with the duration in ms. */
export function listOverlaps<Item extends Stretch>(
    stretches: readonly Item[],
    tolerance: number,
): readonly (readonly [one: Item, other: Item, duration: number])[] {
    const inOrder = [...stretches].sort((left, right) => left.from - right.from);
    const overlaps: [Item, Item, number][] = [];
    let open: Item[] = [];
    for (const next of inOrder) {
        open = open.filter(earlier => earlier.until > next.from + tolerance);
        for (const earlier of open) {
            const duration = Math.min(earlier.until, next.until) - next.from;
            if (earlier.holder !== next.holder && duration > tolerance) {
                overlaps.push([earlier, next, duration]);
            }
        }
        open.push(next);
    }
    return overlaps;
}
