import { type Clock, RandomSource, type ServerId, type ServerIncarnation } from "@arbutusdoor/common";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type * as z from "zod";
import type { Faults } from "../common/faults.js";
import { Journal } from "../common/journal.js";
import type { Place } from "../common/place.js";
import { readJson } from "../common/readJson.js";
import { sendJson } from "../common/sendJson.js";
import { StandIn } from "../common/standIn.js";
import type { StandInRequest } from "../common/standInRequest.js";
import type { BackendSettings } from "./backendSettings.js";
import { getServiceRequest } from "./getServiceRequest.js";
import { orderSchema } from "./orderSchema.js";
import { PausableClock } from "./pausableClock.js";
import { readBodyDigest } from "./readBodyDigest.js";
import { sendEcho } from "./sendEcho.js";
import type { ServerEntry } from "./serverEntry.js";
import { ServerOwnership } from "./serverOwnership.js";
import type { ServiceRequest } from "./serviceRequest.js";
import { WorkList } from "./workList.js";
import { WorkSlots } from "./workSlots.js";

const LEAVE_CHECK_MS = 50;

type RefusalReason = "shed" | "stale" | "leaving";

/** In the place of a backend server: takes orders, holds slices under a lease, runs requests and records all of it. */
export class BackendStandIn extends StandIn {
    private readonly settings: BackendSettings;
    private readonly ownClock: PausableClock;
    private readonly random: RandomSource;
    private readonly journal: Journal<ServerEntry>;
    private readonly slots: WorkSlots;
    private readonly work: WorkList;
    private readonly ownership: ServerOwnership;
    private coldUntil: number;
    private isLeaving = false;
    private refusesNew = false;

    constructor(clock: Clock, settings: BackendSettings, place: Place) {
        super(clock, place);
        this.settings = settings;
        this.ownClock = new PausableClock(clock, settings.clockOffsetMs);
        this.random = new RandomSource(settings.seed);
        this.journal = new Journal(settings.journalLimit);
        this.slots = new WorkSlots(settings.slots, settings.waitingLimit);
        this.work = new WorkList(clock, this.journal, () => this.ownership.closeIntervals());
        this.ownership = new ServerOwnership(
            {
                server: settings.server as ServerId,
                incarnation: settings.incarnation as ServerIncarnation,
                checksOrders: settings.checksOrders,
            },
            this.ownClock,
            this.gate,
            this.work,
            this.journal,
        );
        this.coldUntil = clock.now() + settings.coldStartMs;
        this.app.post(
            "/arbutusdoor/order",
            this.withFaults((request, response) => this.takeOrder(request, response)),
        );
        this.app.get("/load", this.withFaults((...[, response]) => this.sendLoad(response)));
        this.app.get("/health", this.withFaults((...[, response]) => this.sendHealth(response)));
    }

    /** Whether new requests are refused because the server is about to stop. */
    get isRefusingNew(): boolean {
        return this.refusesNew;
    }

    /** Requests that wait for a slot. */
    get waitingCount(): number {
        return this.slots.waitingCount;
    }

    override readJournal(): unknown {
        const { entries, dropped } = this.journal.read();
        return {
            kind: "backendServer",
            server: this.settings.server,
            incarnation: this.settings.incarnation,
            checksOrders: this.settings.checksOrders,
            dropped,
            entries: [...entries, ...this.ownership.list(), ...this.work.list()],
        };
    }

    override async setFaults(faults: z.input<typeof Faults>): Promise<void> {
        if (faults.isFrozen && faults.stopsClock) {
            this.ownClock.stop();
        }
        else {
            this.ownClock.resume();
        }
        await super.setFaults(faults);
        if (this.faults.coldStartMs > 0) {
            this.coldUntil = this.clock.now() + this.faults.coldStartMs;
        }
    }

    /**
     * Leaves gracefully: says so in order replies, goes on until the notice is over and it holds no slice (or the time
     * for it has passed), then refuses new requests, finishes its work and stops.
     */
    async leave(): Promise<void> {
        this.isLeaving = true;
        const last = this.clock.now() + this.settings.leaveLimitMs;
        await this.clock.sleep(this.settings.leaveNoticeMs);
        while (this.ownership.heldCount > 0 && this.clock.now() < last) {
            await this.clock.sleep(LEAVE_CHECK_MS);
        }
        this.refusesNew = true;
        while (this.work.size > 0) {
            await this.clock.sleep(LEAVE_CHECK_MS);
        }
        await this.stop();
    }

    override async stop(): Promise<void> {
        this.ownership.stop();
        await super.stop();
    }

    override async kill(): Promise<void> {
        this.ownership.stop();
        await super.kill();
    }

    protected override handleOther(request: StandInRequest, response: ServerResponse): void {
        const handler = this.withFaults(() => this.serve(request, response));
        handler(request, response);
    }

    private async takeOrder(request: StandInRequest, response: ServerResponse): Promise<void> {
        const order = await readJson(request, orderSchema);
        if (!order) {
            sendJson(response, 400, { error: "malformed order" });
            return;
        }
        await this.gate.pass();
        const reply = this.ownership.takeOrder(order, this.isLeaving || this.faults.isLeaving);
        this.answerEffect(response, 200, reply);
    }

    private async serve(request: StandInRequest, response: ServerResponse): Promise<void> {
        const service = getServiceRequest(request);
        const overdue = service.deadline === undefined ? undefined : this.clock.now() + service.deadline;
        const gone = new AbortController();
        response.once("close", () => gone.abort());
        const early = this.getRefusal(service);
        if (early) {
            this.refuse(service, request, response, early);
            return;
        }
        const outcome = await this.slots.take(gone.signal);
        if (outcome === "abandoned") {
            this.record(service, "abandoned");
            return;
        }
        if (outcome === "full") {
            this.refuse(service, request, response, "shed");
            return;
        }
        await this.gate.pass();
        const late = overdue !== undefined && this.clock.now() >= overdue ? "shed" : this.getRefusal(service);
        if (late) {
            this.refuse(service, request, response, late);
        }
        else {
            await this.run(service, request, response, overdue);
        }
        this.slots.giveBack();
    }

    private getRefusal(service: ServiceRequest): RefusalReason | undefined {
        if (this.refusesNew) {
            return "leaving";
        }
        if (this.faults.sheddingRate > 0 && this.random.nextFraction() < this.faults.sheddingRate) {
            return "shed";
        }
        const { slice, generation } = service;
        const isStale = this.settings.checksOrders && slice !== undefined
            && !this.ownership.isHeld(slice, generation ?? -1);
        return isStale ? "stale" : undefined;
    }

    private async run(
        service: ServiceRequest,
        request: StandInRequest,
        response: ServerResponse,
        overdue: number | undefined,
    ): Promise<void> {
        const { requestId, idempotencyKey, slice, generation, method, path } = service;
        const work = this.work.begin({ requestId, idempotencyKey, slice, generation, method, path });
        const cancel = () => work.cancellation.abort();
        response.once("close", cancel);
        const timer = overdue === undefined
            ? undefined
            : this.clock.schedule(overdue - this.clock.now(), cancel);
        const body = await readBodyDigest(request, work.cancellation.signal);
        if (body.isWhole) {
            await this.waitFor(this.getServiceTime() + service.delay, work.cancellation.signal);
        }
        timer?.cancel();
        await this.gate.pass();
        const isCancelled = !body.isWhole || work.cancellation.signal.aborted;
        const result = isCancelled ? "cancelled" : "completed";
        this.work.end(work, { result, bodyBytes: body.bytes, bodySha256: body.sha256 });
        response.removeListener("close", cancel);
        if (isCancelled || this.losesAnswer()) {
            response.destroy();
            return;
        }
        await sendEcho(response, this.settings, service, body);
    }

    private async waitFor(duration: number, signal: AbortSignal): Promise<void> {
        const aborted = once(signal, "abort");
        const finished = this.clock.sleep(duration);
        await (signal.aborted ? Promise.resolve() : Promise.race([aborted, finished]));
    }

    private getServiceTime(): number {
        const { serviceMs, jitter, coldFactor } = this.settings;
        const factor = this.clock.now() < this.coldUntil ? coldFactor : 1;
        return serviceMs * factor * (1 + jitter * (2 * this.random.nextFraction() - 1));
    }

    private refuse(
        service: ServiceRequest,
        request: StandInRequest,
        response: ServerResponse,
        reason: RefusalReason,
    ): void {
        this.record(service, reason);
        request.resume();
        sendJson(response, 503, { error: reason }, { "arbutusdoor-not-run": reason });
    }

    private record(service: ServiceRequest, reason: RefusalReason | "abandoned"): void {
        const time = this.clock.wallTime();
        this.journal.add({ kind: "refused", time, requestId: service.requestId, reason });
    }

    private sendLoad(response: ServerResponse): void {
        const isLying = this.faults.liesAboutLoad;
        sendJson(response, 200, {
            slots: this.settings.slots,
            running: isLying ? 0 : this.slots.busyCount,
            waiting: isLying ? 0 : this.slots.waitingCount,
            held: this.ownership.heldCount,
        });
    }

    private sendHealth(response: ServerResponse): void {
        const isLeaving = this.isLeaving || this.faults.isLeaving;
        sendJson(response, 200, { isHealthy: true, isLeaving });
    }
}
