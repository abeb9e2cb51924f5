/** Last request number received on each of the last lost links, by this host's serial of the link. */
export class LostLinkHistory {
    private readonly lastStreams = new Map<number, number>();
    private readonly limit: number;

    /** @param limit most links kept; the oldest is forgotten first */
    constructor(limit: number) {
        this.limit = limit;
    }

    /** Notes a lost link; 0 when it received no request. */
    record(serial: number, lastStream: number): void {
        this.lastStreams.set(serial, lastStream);
        if (this.lastStreams.size > this.limit) {
            const [oldest] = this.lastStreams.keys();
            this.lastStreams.delete(oldest!);
        }
    }

    /** Number of the last request received on a lost link, or `undefined` when the link is not known. */
    getLastStream(serial: number): number | undefined {
        return this.lastStreams.get(serial);
    }
}
