import type { ManualClock } from "@arbutusdoor/common";
import type { Connection } from "../../src/transport/connection.js";
import { MemoryConnection } from "./memoryConnection.js";

const LATENCY_MS = 1;

/** Returns the frames that are delivered in place of one. */
type Fault = (from: string, to: string, bytes: Uint8Array) => readonly Uint8Array[];

/** Connections between hosts in one process, on a manual clock, with injected faults. */
export class MemoryNetwork {
    readonly listeners = new Map<string, (connection: Connection) => void>();
    /** Called for each frame that is sent. */
    watch: (from: string, to: string, bytes: Uint8Array) => void = () => {};
    fault: Fault = (_from, _to, bytes) => [bytes];
    /** Addresses that refuse connections. */
    readonly unreachable = new Set<string>();
    private readonly clock: ManualClock;
    private connections: MemoryConnection[] = [];
    private readonly held = new Map<string, { connection: MemoryConnection; bytes: Uint8Array; }[]>();

    constructor(clock: ManualClock) {
        this.clock = clock;
    }

    schedule(action: () => void): void {
        this.clock.schedule(LATENCY_MS, action);
    }

    dial(from: string, address: string): Promise<Connection | undefined> {
        return new Promise(resolve => {
            this.schedule(() => resolve(this.connect(from, address)));
        });
    }

    transmit(connection: MemoryConnection, bytes: Uint8Array): void {
        const { from, to } = connection;
        this.watch(from, to, bytes);
        for (const frame of this.fault(from, to, bytes)) {
            const held = this.held.get(`${from}>${to}`);
            if (held) {
                held.push({ connection, bytes: frame });
            }
            else {
                this.schedule(() => connection.other.deliver(frame));
            }
        }
    }

    /** Keeps frames in the sender's socket until `release`. */
    hold(from: string, to: string): void {
        this.held.set(`${from}>${to}`, []);
    }

    release(from: string, to: string): void {
        const held = this.held.get(`${from}>${to}`) ?? [];
        this.held.delete(`${from}>${to}`);
        for (const { connection, bytes } of held) {
            this.schedule(() => connection.other.deliver(bytes));
        }
        held.forEach(({ connection }) => connection.drain());
    }

    getHeldBytes(connection: MemoryConnection): number {
        const held = this.held.get(`${connection.from}>${connection.to}`) ?? [];
        return held.reduce((sum, { bytes }) => sum + bytes.length, 0);
    }

    /** Closes all connections between two hosts at both ends; frames in transit are lost. */
    cut(one: string, other: string): void {
        this.find(one, other).forEach(connection => connection.terminate());
    }

    /** Closes the connections at one host only. */
    dropAt(host: string, other: string): void {
        this.find(host, other).filter(({ from }) => from === host).forEach(connection =>
            connection.closeLocally()
        );
    }

    private find(one: string, other: string): MemoryConnection[] {
        this.connections = this.connections.filter(({ isClosed }) => !isClosed);
        const names = [one, other].sort().join();
        return this.connections.filter(({ from, to }) => [from, to].sort().join() === names);
    }

    private connect(from: string, address: string): Connection | undefined {
        const accept = this.listeners.get(address);
        const to = address.split(":")[0]!;
        if (!accept || this.unreachable.has(address)) {
            return undefined;
        }
        const near = new MemoryConnection(this, from, to);
        const far = new MemoryConnection(this, to, from);
        near.other = far;
        far.other = near;
        this.connections.push(near, far);
        accept(far);
        return near;
    }
}
