import type { Clock } from "@arbutusdoor/common";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import * as z from "zod";
import { getServiceRequest } from "../backendServer/getServiceRequest.js";
import { readBodyDigest } from "../backendServer/readBodyDigest.js";
import { sendEcho } from "../backendServer/sendEcho.js";
import type { ServerEntry } from "../backendServer/serverEntry.js";
import type { ServiceRequest } from "../backendServer/serviceRequest.js";
import type { Work } from "../backendServer/work.js";
import { WorkList } from "../backendServer/workList.js";
import { WorkSlots } from "../backendServer/workSlots.js";
import { Journal } from "../common/journal.js";
import type { Place } from "../common/place.js";
import { readJson } from "../common/readJson.js";
import { sendJson } from "../common/sendJson.js";
import { StandIn } from "../common/standIn.js";
import type { StandInRequest } from "../common/standInRequest.js";
import { KeyRanges } from "./keyRanges.js";
import type { RangeServerSettings } from "./rangeServerSettings.js";
import { RegisteredEntry } from "./registeredEntry.js";

const RELEASE_POLL_MS = 5;
const LEAVE_POLL_MS = 20;
const MS_PER_S = 1_000;
const LAST_KEY = 65_535;
const MAX_ANSWER_BYTES = 1_048_576;
const NOT_RUN = { "x-not-executed": "1" };
const SIGNATURE = { "x-response-signature": "stand-in" };

const key = z.int().min(0).max(LAST_KEY);
const Order = z.object({
    "from": key,
    "target": key,
    "fence": z.int(),
    "hold_time": z.string().regex(/^\d+ms$/).optional(),
});
type Order = z.infer<typeof Order>;

/** In the place of a backend server of the platform: holds ranges of keys by grants, runs requests and records all of it. */
export class RangeServerStandIn extends StandIn {
    private readonly settings: RangeServerSettings;
    private readonly id: string;
    private readonly journal: Journal<ServerEntry>;
    private readonly slots: WorkSlots;
    private readonly work: WorkList;
    private readonly keys: KeyRanges;
    private readonly entry: RegisteredEntry;
    private pausedUntil = -Infinity;

    constructor(clock: Clock, settings: RangeServerSettings, place: Place) {
        super(clock, place);
        this.settings = settings;
        const startedAt = Math.floor(clock.wallTime());
        this.id = `${settings.server}-${startedAt}`;
        this.entry = new RegisteredEntry(clock, settings, this.id, startedAt, () => this.address);
        this.journal = new Journal(settings.journalLimit);
        this.slots = new WorkSlots(settings.slots, settings.waitingLimit);
        this.work = new WorkList(clock, this.journal, () => undefined);
        this.keys = new KeyRanges(clock, ({ key, fence, from, until }) => {
            const slice = this.getSlice(key);
            this.journal.add({ kind: "owned", slice, generation: fence, from, until });
        });
        for (const path of ["/-/grant", "/-/release"]) {
            this.app.post(
                path,
                this.withFaults((request, response) => this.takeOrder(path, request, response)),
            );
        }
    }

    override async start(): Promise<void> {
        await super.start();
        await this.entry.begin();
    }

    override async setFaults(faults: Parameters<StandIn["setFaults"]>[0]): Promise<void> {
        await super.setFaults(faults);
        this.pausedUntil = this.clock.now() + this.faults.pauseMs;
        this.entry.isCutOff = this.faults.isUnregistered;
    }

    override readJournal(): unknown {
        const { entries, dropped } = this.journal.read();
        const held = this.keys.list().map(({ key, fence, from, until }) => ({
            kind: "owned" as const,
            slice: this.getSlice(key),
            generation: fence,
            from,
            until,
        }));
        const { server } = this.settings;
        return {
            kind: "backendServer",
            server,
            incarnation: this.id,
            dropped,
            entries: [...entries, ...held, ...this.work.list()],
        };
    }

    /** Says that it leaves, goes on serving for the drain time, ends its work and stops. */
    async leave(): Promise<void> {
        await this.entry.announceLeaving();
        await this.clock.sleep(this.settings.drainMs);
        while (this.work.size > 0) {
            await this.clock.sleep(LEAVE_POLL_MS);
        }
        await this.entry.drop();
        await this.stop();
    }

    protected override handleOther(request: StandInRequest, response: ServerResponse): void {
        this.withFaults(() => this.serve(request, response))(request, response);
    }

    private async takeOrder(path: string, request: StandInRequest, response: ServerResponse): Promise<void> {
        this.announceLeaving(response);
        const order = await readJson(request, Order);
        if (request.headers["x-target-instance"] !== this.id) {
            sendJson(response, 421, {}, { "x-instance-id": this.id });
            return;
        }
        if (!order || !this.settings.isKeyed || (path === "/-/grant" && !order.hold_time)) {
            sendJson(response, 400, { error: "malformed order" }, { "x-instance-id": this.id });
            return;
        }
        if (path === "/-/grant") {
            await this.takeGrant(order, response);
        }
        else {
            await this.takeRelease(order, response);
        }
    }

    private async takeGrant(order: Order, response: ServerResponse): Promise<void> {
        const until = this.clock.now() + Number.parseInt(order.hold_time!, 10);
        await this.delayEffect(response);
        const span = { first: order.from, last: order.target };
        const isFenced = this.keys.isFenced(span, order.fence);
        if (!isFenced) {
            this.keys.grant(span, order.fence, until);
        }
        if (!response.destroyed) {
            this.answerEffect(response, isFenced ? 409 : 200, {});
        }
    }

    private async takeRelease(
        { fence, from: first, target: last }: Order,
        response: ServerResponse,
    ): Promise<void> {
        const span = { first, last };
        if (this.faults.lie !== "ignoresReleases") {
            this.keys.release(span, fence);
        }
        while (this.isWorking(first, last)) {
            await this.clock.sleep(RELEASE_POLL_MS);
        }
        this.keys.endTenures(span);
        if (this.losesAnswer()) {
            response.destroy();
            return;
        }
        sendJson(response, 200, {}, { "x-handover": `${this.id}-${fence}` });
    }

    private isWorking(first: number, last: number): boolean {
        return this.work.list().some(entry => {
            const key = entry.kind === "run" ? Number(entry.slice?.split("/")[1] ?? Number.NaN) : Number.NaN;
            return key >= first && key <= last;
        });
    }

    private async serve(request: StandInRequest, response: ServerResponse): Promise<void> {
        const { headers } = request;
        const service = {
            ...getServiceRequest(request),
            requestId: String(headers["x-request-id"] ?? ""),
            deadline: Number(headers["x-deadline-ms"]) || undefined,
        };
        const { requestId } = service;
        const pauseMs = Math.max(0, this.pausedUntil - this.clock.now());
        if (this.isLeaving || pauseMs > 0) {
            const time = this.clock.wallTime();
            this.journal.add({ kind: "arrived", time, requestId });
            // Recorded now, although the answer comes later: only what comes after it is judged.
            this.journal.add({ kind: "notice", time, requestId, isLeaving: this.isLeaving, pauseMs });
        }
        this.announceLeaving(response);
        if (pauseMs > 0) {
            if (this.faults.lie !== "hidesNotices") {
                response.setHeader("retry-after", (pauseMs / MS_PER_S).toFixed(3));
            }
            this.refuse(service, request, response, 503);
            return;
        }
        const gone = new AbortController();
        response.once("close", () => gone.abort());
        const outcome = this.faults.isFull ? "full" : await this.slots.take(gone.signal);
        if (outcome === "abandoned") {
            return;
        }
        const refusal = outcome === "full" ? 503 : this.getRefusal(request);
        if (refusal !== undefined) {
            this.refuse(service, request, response, refusal);
        }
        else {
            await this.run(service, request, response);
        }
        if (outcome === "granted") {
            this.slots.giveBack();
        }
    }

    private get isLeaving(): boolean {
        return this.entry.isAnnounced || this.faults.isLeaving;
    }

    private announceLeaving(response: ServerResponse): void {
        if (this.isLeaving && this.faults.lie !== "hidesNotices") {
            response.setHeader("server-leaving", "1");
        }
    }

    /** Status of a refusal, or `undefined` when the request may run here. */
    private getRefusal({ headers }: StandInRequest): 421 | undefined {
        const target = headers["x-target-instance"];
        const isOther = target !== undefined && target !== this.id;
        const isUnheld = this.settings.isKeyed && this.keys.use(getKey(headers["x-shard-key"])) === undefined;
        return isOther || isUnheld ? 421 : undefined;
    }

    private async run(
        service: ServiceRequest,
        request: StandInRequest,
        response: ServerResponse,
    ): Promise<void> {
        const { idempotencyKey, method, path, requestId } = service;
        const { isKeyed } = this.settings;
        const key = getKey(request.headers["x-shard-key"]);
        const slice = isKeyed ? this.getSlice(key) : undefined;
        const generation = isKeyed ? this.keys.use(key) : undefined;
        const work = this.work.begin({ requestId, idempotencyKey, slice, generation, method, path });
        const cancel = () => work.cancellation.abort();
        response.once("close", cancel);
        // Nobody waits for the answer beyond it, and the rest of the body may have been lost on its way.
        const timer = this.clock.schedule(service.deadline ?? Infinity, cancel);
        const body = await readBodyDigest(request, work.cancellation.signal);
        timer.cancel();
        if (body.isWhole) {
            await this.waitFor(this.settings.serviceMs + service.delay, work);
        }
        const isOutlasting = isKeyed && !this.keys.mayFinish(key, generation);
        const isCancelled = !body.isWhole || work.cancellation.signal.aborted || isOutlasting;
        const result = isCancelled ? "cancelled" : "completed";
        const now = this.clock.wallTime();
        const endedAt = isOutlasting
            ? Math.max(work.started, Math.min(now, this.keys.getLeaseEnd(key)))
            : now;
        this.work.end(work, { result, bodyBytes: body.bytes, bodySha256: body.sha256 }, endedAt);
        response.removeListener("close", cancel);
        if (isOutlasting) {
            sendJson(response, 500, {}, { ...SIGNATURE, "x-request-id": requestId });
        }
        else if (isCancelled || this.losesAnswer()) {
            response.destroy();
        }
        else {
            await this.answer(work, service, response, body);
        }
    }

    private async answer(
        work: Work,
        service: ServiceRequest,
        response: ServerResponse,
        body: Parameters<typeof sendEcho>[3],
    ): Promise<void> {
        const { requestId } = service;
        const { lie } = this.faults;
        if (lie === "runsTwice") {
            this.work.end(this.work.begin(work), { result: "completed", bodyBytes: 0, bodySha256: "" });
        }
        const headers = { ...SIGNATURE, "x-request-id": requestId };
        if (lie === "hidesRuns") {
            sendJson(response, 503, {}, { ...headers, ...NOT_RUN });
            return;
        }
        response.setHeaders(new Map(Object.entries(headers)));
        const { server } = this.settings;
        const place = { server, incarnation: this.id, maxAnswerBytes: MAX_ANSWER_BYTES };
        const told = lie === "swapsAnswers" ? { ...service, path: "/another/path" } : service;
        await sendEcho(response, place, told, body);
    }

    private async waitFor(duration: number, work: Work): Promise<void> {
        const { signal } = work.cancellation;
        const aborted = once(signal, "abort");
        await (signal.aborted ? Promise.resolve() : Promise.race([aborted, this.clock.sleep(duration)]));
    }

    private refuse(
        service: ServiceRequest,
        request: StandInRequest,
        response: ServerResponse,
        status: 421 | 503,
    ): void {
        const reason = status === 421 ? "stale" : "shed";
        const { requestId } = service;
        this.journal.add({ kind: "refused", time: this.clock.wallTime(), requestId, reason });
        request.resume();
        sendJson(response, status, {}, { ...NOT_RUN, "x-request-id": requestId });
    }

    private getSlice(key: number): string {
        return `${this.settings.service}/${key}`;
    }
}

function getKey(header: string | string[] | undefined): number {
    return Math.min(LAST_KEY, Math.max(0, Number(header ?? 0) || 0));
}
