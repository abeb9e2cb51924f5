/** Lets everything pass while open; while closed it holds back what comes and lets it pass in order when it opens. */
export class Gate {
    private waiting: (() => void)[] = [];
    private isClosed = false;

    /** How many are held back. */
    get heldCount(): number {
        return this.waiting.length;
    }

    /** Holds back what comes from now on. */
    close(): void {
        this.isClosed = true;
    }

    /** Lets everything pass, what waits first. */
    open(): void {
        this.isClosed = false;
        const released = this.waiting;
        this.waiting = [];
        for (const release of released) {
            release();
        }
    }

    /** Resolves once the gate is open. */
    async pass(): Promise<void> {
        while (this.isClosed) {
            await new Promise<void>(resolve => this.waiting.push(resolve));
        }
    }
}
