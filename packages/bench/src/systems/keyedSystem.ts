import {
    type Clock,
    createRefusal,
    type HostId,
    Metrics,
    type Refusal,
    type ServerId,
    type SliceId,
} from "@arbutusdoor/common";
import { type Job, type JobResult, ServerQueue, ServerQueueSettings } from "@arbutusdoor/policy";
import { Link } from "../simulation/link.js";
import type { SimulatedRequest } from "../simulation/simulatedRequest.js";
import type { SimulatedServer } from "../simulation/simulatedServer.js";
import type { RequestOutcome } from "../statistics/requestOutcome.js";
import { CallerWait } from "./callerWait.js";
import { PlainQueue } from "./plainQueue.js";
import type { QueueMode } from "./queueMode.js";
import type { SliceMap } from "./sliceMap.js";

const RELAY_HOP_MS = 1;
const GRANTOR = "grantor" as HostId;
const GRANTORS = 3;
const HOSTS = 10;

/** How requests of a keyed service reach their server in a run. */
type KeyedSettings = {
    /**
     * Through one queue at the server's grantor; through the entry host's own queue if it is one of three grantors; or
     * straight from each entry host through a queue of its own.
     */
    readonly mode: "relay" | "nearest" | "direct";
    /** Requests that one queue lets to the server at a time. */
    readonly limit: number;
    readonly queueMode: QueueMode;
    readonly queue?: Partial<ServerQueueSettings>;
};

type Path = {
    readonly link: Link;
    readonly queue: { submit<Value>(job: Job<Value>): Promise<JobResult<Value>>; };
};

/** The entry hosts of a keyed service, with the real queue. */
export class KeyedSystem {
    /** Slices that are on their way and refused meanwhile. */
    readonly moving = new Set<SliceId>();
    onServed: ((request: SimulatedRequest, slice: SliceId, duration: number) => void) | undefined;
    private readonly clock: Clock;
    private readonly settings: KeyedSettings;
    private readonly servers: ReadonlyMap<ServerId, SimulatedServer>;
    private readonly slices: SliceMap;
    private readonly paths = new Map<string, Path>();

    constructor(
        clock: Clock,
        servers: readonly SimulatedServer[],
        slices: SliceMap,
        settings: KeyedSettings,
    ) {
        this.clock = clock;
        this.servers = new Map(servers.map(server => [server.id, server]));
        this.slices = slices;
        this.settings = settings;
    }

    /** Handles one request that arrived at an entry host. */
    async handle(request: SimulatedRequest, host: HostId): Promise<RequestOutcome> {
        const slice = this.slices.getSlice(request.key);
        if (this.moving.has(slice)) {
            return this.newOutcome(request, createRefusal("ownerMoving", ""));
        }
        const wait = new CallerWait(this.clock, request.deadlineAt);
        const owner = this.slices.getOwner(slice);
        const sender = this.getSender(host, owner);
        const isRelayed = sender !== host;
        if (isRelayed) {
            await this.clock.sleep(RELAY_HOP_MS);
        }
        const path = this.getPath(sender, owner);
        const submission = await this.submit(request, slice, path, wait.signal);
        wait.end();
        if (isRelayed) {
            await this.clock.sleep(RELAY_HOP_MS);
        }
        return this.newOutcome(
            request,
            submission.kind === "refusal" ? submission.refusal : submission.value,
        );
    }

    /** The host whose queue the request waits in; the grantors of a server are neighbours in the list of hosts. */
    private getSender(host: HostId, server: ServerId): HostId {
        const { mode } = this.settings;
        if (mode === "direct") {
            return host;
        }
        const first = getNumber(server) % HOSTS;
        const distance = (getNumber(host) - first + HOSTS) % HOSTS;
        if (mode === "nearest") {
            return distance < GRANTORS ? host : `host-${first}` as HostId;
        }
        return GRANTOR;
    }

    private submit(
        request: SimulatedRequest,
        slice: SliceId,
        { link, queue }: Path,
        signal: AbortSignal,
    ): Promise<JobResult<Refusal | undefined>> {
        const { classId, priority, isIdempotent } = request.profile;
        return queue.submit({
            id: String(request.id),
            classId,
            priority,
            isIdempotent,
            deadlineAt: request.deadlineAt,
            signal,
            run: () => this.send(request, slice, link, signal),
        });
    }

    private async send(
        request: SimulatedRequest,
        slice: SliceId,
        link: Link,
        signal: AbortSignal,
    ): Promise<Refusal | undefined> {
        const startedAt = this.clock.now();
        const end = await link.send(request, signal);
        this.onServed?.(request, slice, this.clock.now() - startedAt);
        if (end.kind === "answered") {
            return undefined;
        }
        return createRefusal(end.kind === "notRun" ? "serverRefused" : "deadlineAfterStart", "");
    }

    private newOutcome(request: SimulatedRequest, refusal: Refusal | undefined): RequestOutcome {
        const kind = refusal?.outcome ?? "answered";
        return { request, kind, reason: refusal?.reason ?? "", at: this.clock.now() };
    }

    private getPath(host: HostId, server: ServerId): Path {
        const name = `${host}/${server}`;
        let path = this.paths.get(name);
        if (!path) {
            path = { link: new Link(this.clock, this.servers.get(server)!), queue: this.newQueue() };
            this.paths.set(name, path);
        }
        return path;
    }

    private newQueue(): Path["queue"] {
        const { limit, queueMode, queue = {} } = this.settings;
        return queueMode === "plain"
            ? new PlainQueue(limit)
            : new ServerQueue({
                clock: this.clock,
                metrics: new Metrics(),
                slots: limit,
                settings: ServerQueueSettings.parse(queue),
            });
    }
}

/** The number at the end of a simulated host's or server's name. */
function getNumber(name: string): number {
    return Number(name.split("-").at(-1));
}
