import { Clock, type Milliseconds, type Timer } from "@arbutusdoor/common";

type Pending = { readonly due: Milliseconds; readonly order: number; action: (() => void) | undefined; };

/** A clock for simulations with very many timers: a binary heap from which cancelled actions are dropped when due. */
export class SimulatedClock extends Clock {
    private readonly heap: Pending[] = [];
    private time: Milliseconds = 0;
    private counter = 0;

    override now(): Milliseconds {
        return this.time;
    }

    override wallTime(): Milliseconds {
        return this.time;
    }

    override schedule(delay: Milliseconds, action: () => void): Timer {
        const entry: Pending = { due: this.time + Math.max(0, delay), order: this.counter++, action };
        this.push(entry);
        return {
            cancel: () => {
                entry.action = undefined;
            },
        };
    }

    /** Runs the next action at its time. Returns false when none is due by `end`; the time is then `end`. */
    step(end: Milliseconds): boolean {
        for (let next = this.heap[0]; next && next.due <= end; next = this.heap[0]) {
            this.pop();
            if (next.action) {
                this.time = Math.max(this.time, next.due);
                next.action();
                return true;
            }
        }
        this.time = Math.max(this.time, end);
        return false;
    }

    private push(entry: Pending): void {
        let index = this.heap.push(entry) - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(entry, this.heap[parent]!)) {
                break;
            }
            this.heap[index] = this.heap[parent]!;
            index = parent;
        }
        this.heap[index] = entry;
    }

    private pop(): void {
        const last = this.heap.pop()!;
        const size = this.heap.length;
        if (size === 0) {
            return;
        }
        let index = 0;
        for (;;) {
            let child = 2 * index + 1;
            if (child + 1 < size && isBefore(this.heap[child + 1]!, this.heap[child]!)) {
                child++;
            }
            if (child >= size || !isBefore(this.heap[child]!, last)) {
                break;
            }
            this.heap[index] = this.heap[child]!;
            index = child;
        }
        this.heap[index] = last;
    }
}

function isBefore(a: Pending, b: Pending): boolean {
    return a.due < b.due || (a.due === b.due && a.order < b.order);
}
