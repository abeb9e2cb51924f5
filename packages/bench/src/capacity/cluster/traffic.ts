/** What one entry host sends and calls, counted by kind. */
export class Traffic {
    messages = 0;
    messageBytes = 0;
    orders = 0;
    orderBytes = 0;
    reads = 0;
    rowsRead = 0;
    bytesRead = 0;
    writes = 0;
    rowsWritten = 0;
    bytesWritten = 0;
    readonly processorUs = new Map<string, { total: number; calls: number; }>();

    /** Adds the time of one decision upon a kind of input. */
    noteTime(kind: string, microseconds: number): void {
        const known = this.processorUs.get(kind) ?? { total: 0, calls: 0 };
        known.total += microseconds;
        known.calls++;
        this.processorUs.set(kind, known);
    }

    /** Mean time in microseconds of a decision upon a kind of input. */
    getMeanUs(kind: string): number {
        const { total, calls } = this.processorUs.get(kind) ?? { total: 0, calls: 1 };
        return total / Math.max(1, calls);
    }

    /** Time in microseconds of all decisions. */
    getTotalUs(): number {
        return [...this.processorUs.values()].reduce((sum, { total }) => sum + total, 0);
    }
}
