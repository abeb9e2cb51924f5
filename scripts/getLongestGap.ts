/** Longest time in ms without an answer between two moments. */
export function getLongestGap(times: readonly number[], from: number, until: number): number {
    const inside = times.filter(time => time > from && time < until);
    const marks = [from, ...inside, until];
    return Math.max(...marks.slice(1).map((time, index) => time - marks[index]!));
}
