/** Number of the last request received on each recently lost link, by this host's serial of the link. */
export class LostLinkHistory {
    private readonly lastStreams = new Map<number, number>();
    private readonly limit: number;

    /** @param limit most links kept; the oldest is dropped first */
    constructor(limit: number) {
        this.limit = limit;
    }

    /** Records a lost link; `lastStream` is 0 when it received no request. */
    record(serial: number, lastStream: number): void {
        this.lastStreams.set(serial, lastStream);
        if (this.lastStreams.size > this.limit) {
            const [oldest] = this.lastStreams.keys();
            this.lastStreams.delete(oldest!);
        }
    }

    /** Returns the number of the last request received on a lost link, or `undefined` when the link is not recorded. */
    getLastStream(serial: number): number | undefined {
        return this.lastStreams.get(serial);
    }
}
