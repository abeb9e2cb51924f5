import {
    createRefusal,
    type DataCentreId,
    type HostId,
    type HostIncarnation,
    ManualClock,
    Metrics,
    RandomSource,
} from "@arbutusdoor/common";
import { Readable } from "node:stream";
import { text } from "node:stream/consumers";
import { Mesh } from "../../src/mesh.js";
import type { RelayAnswer } from "../../src/relay/relayAnswer.js";
import { MeshSettings } from "../../src/settings/meshSettings.js";
import { createRequest } from "./createRequest.js";
import { describeFrame } from "./describeFrame.js";
import { MemoryNetwork } from "./memoryNetwork.js";
import { MemoryTransport } from "./memoryTransport.js";
import { RecordingHandler } from "./recordingHandler.js";
import { RecordingLogger } from "./recordingLogger.js";

type HostOptions = {
    readonly incarnation?: string;
    readonly seeds?: readonly string[];
    readonly settings?: Partial<MeshSettings>;
    readonly secret?: string;
};

type SessionHost = { readonly mesh: Mesh; readonly handler: RecordingHandler; readonly metrics: Metrics; };

const SETTLE_TURNS = 6;

/** Several hosts on one manual clock and a memory network; records all events in order. */
export class MeshSimulation {
    readonly clock = new ManualClock();
    readonly network = new MemoryNetwork(this.clock);
    private readonly lines: string[] = [];

    constructor() {
        this.network.watch = (from, to, bytes) => {
            describeFrame(bytes).forEach(line => this.record(`${from} > ${to}: ${line}`));
        };
    }

    /** The recorded events, one per line. */
    get trace(): string {
        return `${this.lines.join("\n")}\n`;
    }

    record(line: string): void {
        this.lines.push(`${String(this.clock.now()).padStart(5)} ${line}`);
    }

    /** Starts a host that listens at `<name>:1`. */
    async start(name: string, options: HostOptions = {}): Promise<SessionHost> {
        const { clock, network } = this;
        const metrics = new Metrics();
        const record = (line: string) => this.record(`${name}: ${line}`);
        const handler = new RecordingHandler(record, request => this.answer(request.path));
        const mesh = new Mesh({
            self: {
                host: name as HostId,
                incarnation: (options.incarnation ?? `${name}1`) as HostIncarnation,
                dataCentre: "north" as DataCentreId,
                address: `${name}:1`,
            },
            listen: { host: name, port: 1 },
            seeds: options.seeds ?? [],
            clock,
            random: new RandomSource(1),
            logger: new RecordingLogger(clock, record),
            metrics,
            settings: MeshSettings.parse(options.settings ?? {}),
            handler,
            ...(options.secret === undefined ? {} : { secret: options.secret }),
            transport: new MemoryTransport(network, name),
        });
        await mesh.start();
        return { mesh, handler, metrics };
    }

    /** Relays a request and records how it ends. */
    async relay(from: SessionHost, to: string, id: string, options: RelayOptions = {}): Promise<void> {
        const body = options.body ?? undefined;
        const signal = options.signal ?? new AbortController().signal;
        const request = createRequest(id, {
            path: options.path ?? "/",
            deadline: options.deadline ?? 2_000,
            isRepeatable: options.isRepeatable ?? false,
        });
        const answer = await from.mesh.relay(to as HostId, request, body, signal);
        if (answer.kind === "refusal") {
            this.record(`caller of ${id}: ${answer.refusal.outcome} ${answer.refusal.reason}`);
            return;
        }
        await text(answer.body).then(
            content => this.record(`caller of ${id}: answered ${answer.status} "${content}"`),
            (error: Error) => this.record(`caller of ${id}: the answer broke off (${error.name})`),
        );
    }

    /** Advances the clock millisecond by millisecond. */
    async advance(duration: number): Promise<void> {
        for (let passed = 0; passed < duration; passed++) {
            this.clock.advance(1);
            await this.settle();
        }
    }

    /** Runs everything that is due without advancing the clock. */
    async settle(): Promise<void> {
        for (let turn = 0; turn < SETTLE_TURNS; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    private async answer(path: string): Promise<RelayAnswer> {
        if (path.startsWith("/refuse")) {
            return { kind: "refusal", refusal: createRefusal("queueFull", "full") };
        }
        const wait = Number(path.split("/wait/")[1] ?? 0);
        if (wait > 0) {
            await this.clock.sleep(wait);
        }
        return {
            kind: "answered",
            status: 200,
            headers: {},
            body: Readable.from([Buffer.from(`of ${path}`)]),
        };
    }
}

type RelayOptions = {
    readonly isRepeatable?: boolean;
    readonly path?: string;
    readonly body?: Readable;
    readonly signal?: AbortSignal;
    readonly deadline?: number;
};
