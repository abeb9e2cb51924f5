import { Connection } from "../../src/transport/connection.js";
import type { ConnectionEvents } from "../../src/transport/connectionEvents.js";
import type { MemoryNetwork } from "./memoryNetwork.js";

/** One end of a connection on a memory network. */
export class MemoryConnection extends Connection {
    other!: MemoryConnection;
    isClosed = false;
    readonly from: string;
    readonly to: string;
    private readonly network: MemoryNetwork;
    private events: ConnectionEvents | undefined;
    private readonly buffered: Uint8Array[] = [];

    constructor(network: MemoryNetwork, from: string, to: string) {
        super();
        this.network = network;
        this.from = from;
        this.to = to;
    }

    override get bufferedBytes(): number {
        return this.network.getHeldBytes(this);
    }

    override listen(events: ConnectionEvents): void {
        this.events = events;
        this.buffered.splice(0).forEach(bytes => events.onFrame(bytes));
        if (this.isClosed) {
            events.onClose("ended");
        }
    }

    override send(bytes: Uint8Array): void {
        if (!this.isClosed) {
            this.network.transmit(this, bytes);
        }
    }

    override close(): void {
        this.network.schedule(() => this.terminate());
    }

    override terminate(): void {
        if (!this.isClosed) {
            this.closeLocally();
            this.other.closeLocally();
        }
    }

    /** Closes this end only, as if the other host did not notice. */
    closeLocally(): void {
        if (!this.isClosed) {
            this.isClosed = true;
            this.events?.onClose("ended");
        }
    }

    deliver(bytes: Uint8Array): void {
        if (this.isClosed) {
            return;
        }
        if (this.events) {
            this.events.onFrame(bytes);
        }
        else {
            this.buffered.push(bytes);
        }
    }

    drain(): void {
        this.events?.onDrain();
    }
}
