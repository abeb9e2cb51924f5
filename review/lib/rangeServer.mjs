// Stand-in of a backend server that holds keys (PROTOCOL.md, "Servers" and "Keys that servers hold"). It registers itself in the store.
import { createServer } from "node:http";

const HEARTBEAT_MS = 870;
const KEYS = 65_536;

export class RangeServer {
    /** @param options id, service, zone, slots, queue, workMs, isKeyed, recorder, store */
    constructor(options) {
        Object.assign(this, { slots: 3, queue: 12, workMs: 120, isKeyed: true, zone: "zone-a" }, options);
        this.born = Date.now();
        this.seq = 0;
        this.state = "ready";
        this.running = new Map();
        this.waiting = [];
        this.runs = [];
        this.seenFence = new Int32Array(KEYS);
        this.heldFence = new Int32Array(KEYS);
        this.heldUntil = new Float64Array(KEYS);
        this.heldSince = new Float64Array(KEYS);
        this.grantListeners = [];
        /** Called with each request and order before it is handled; may send bytes on the connection. */
        this.beforeAnswer = () => undefined;
        this.afterAnswer = () => undefined;
        this.server = createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 10_000;
    }

    async listen(ip, port = 0) {
        await new Promise(resolve => this.server.listen(port, ip, resolve));
        this.listening = { ip, port: this.server.address().port };
        this.address ??= `${ip}:${this.listening.port}`;
    }

    /** Registers the server and keeps its entry alive. */
    register() {
        this.isInStore = true;
        this.writeEntry();
        this.heartbeat = setInterval(() => this.writeEntry(), HEARTBEAT_MS);
    }

    writeEntry() {
        if (!this.isInStore) {
            return;
        }
        this.seq++;
        this.store.put("servers", this.id, {
            "address": this.address,
            "born": this.born,
            "info": { "service": this.service, "config-version": "1", "zone": this.zone, "slots": this.slots },
            "status": { "state": this.state, "seq": this.seq, "warmup-left": "0ms" },
        });
    }

    /** The store hears nothing of the server any more: the entry is removed after three heartbeats. */
    cutFromStore() {
        clearInterval(this.heartbeat);
        setTimeout(() => {
            if (this.isInStore) {
                this.isInStore = false;
                this.store.drop("servers", this.id);
                this.recorder.add(`store: the entry of ${this.id} is removed after three heartbeats of silence`);
            }
        }, 3 * HEARTBEAT_MS).unref();
    }

    announceDraining() {
        this.state = "draining";
        this.writeEntry();
        this.recorder.add(`server ${this.id} reports draining`);
    }

    close() {
        clearInterval(this.heartbeat);
        this.server.close();
        this.server.closeAllConnections();
    }

    holds(key, now = performance.now()) {
        return this.heldFence[key] > 0 && this.heldUntil[key] > now;
    }

    async handle(request, response) {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        const { socket } = request;
        this.beforeAnswer(socket, request, Buffer.concat(chunks));
        const path = request.url;
        if (path === "/-/grant" || path === "/-/release") {
            const order = JSON.parse(Buffer.concat(chunks).toString());
            if (request.headers["x-target-instance"] !== undefined && request.headers["x-target-instance"] !== this.id) {
                this.reply(request, response, 421, { "X-Instance-Id": this.id }, "");
            }
            else if (path === "/-/grant") {
                this.grant(request, response, order);
            }
            else {
                this.release(request, response, order);
            }
            return;
        }
        this.serve(request, response);
    }

    grant(request, response, { from, target, fence, hold_time: holdTime }) {
        const now = performance.now();
        for (let key = from; key <= target; key++) {
            if (this.seenFence[key] > fence) {
                this.reply(request, response, 409, {}, "");
                return;
            }
        }
        const until = now + Number.parseFloat(holdTime);
        for (let key = from; key <= target; key++) {
            if (!this.holds(key, now)) {
                this.heldSince[key] = now;
            }
            this.seenFence[key] = fence;
            this.heldFence[key] = fence;
            this.heldUntil[key] = until;
        }
        this.grantListeners.forEach(listener => listener(this, from, target, fence));
        this.reply(request, response, 200, {}, "");
    }

    release(request, response, { from, target, fence }) {
        for (let key = from; key <= target; key++) {
            this.seenFence[key] = Math.max(this.seenFence[key], fence);
            if (this.heldFence[key] <= fence) {
                this.heldFence[key] = 0;
            }
        }
        const isWorking = () => [...this.running.values()].some(({ key }) => key >= from && key <= target);
        const answer = () => {
            if (isWorking()) {
                setTimeout(answer, 5);
                return;
            }
            this.reply(request, response, 200, { "X-Handover": `${this.id}-${from}-${fence}` }, "");
        };
        answer();
    }

    serve(request, response) {
        const { headers } = request;
        const id = headers["x-request-id"];
        const key = Number(headers["x-shard-key"] ?? 0);
        const notRun = (status, extra = {}) =>
            this.reply(request, response, status, { "X-Request-Id": id, "X-Not-Executed": "1", ...extra }, "");
        this.recorder.add(`server ${this.id}: request ${id} arrives (key ${key})`);
        if (headers["x-target-instance"] !== undefined && headers["x-target-instance"] !== this.id) {
            notRun(421, { "X-Instance-Id": this.id });
        }
        else if (this.running.size < this.slots) {
            this.run(request, response, id, key, notRun);
        }
        else if (this.waiting.length < this.queue) {
            this.waiting.push(() => this.run(request, response, id, key, notRun));
        }
        else {
            this.recorder.add(`server ${this.id}: request ${id} is refused with 503, the server is full`);
            notRun(503);
        }
    }

    run(request, response, id, key, notRun) {
        if (response.destroyed) {
            this.startWaiting();
            return;
        }
        if (this.isKeyed && !this.holds(key)) {
            this.recorder.add(`server ${this.id}: request ${id} is refused with 421, key ${key} is not held`);
            notRun(421);
            this.startWaiting();
            return;
        }
        const run = { id, key, startedAt: performance.now() };
        const token = Symbol(id);
        this.running.set(token, run);
        this.runs.push(run);
        this.recorder.add(`server ${this.id}: request ${id} RUNS (key ${key})`);
        const workMs = Number(request.headers["x-work-ms"] ?? this.workMs);
        let timer;
        const end = () => {
            clearTimeout(timer);
            if (this.running.delete(token)) {
                run.endedAt = performance.now();
                this.startWaiting();
            }
        };
        // The server drops a request when its connection closes.
        response.once("close", end);
        timer = setTimeout(() => {
            end();
            this.recorder.add(`server ${this.id}: the run of ${id} ends`);
            this.reply(request, response, 200, { "X-Request-Id": id, "X-Response-Signature": `sig-${this.id}-${id}` }, `done ${id}`);
        }, workMs);
    }

    startWaiting() {
        if (this.running.size < this.slots) {
            this.waiting.shift()?.();
        }
    }

    reply(request, response, status, headers, body) {
        if (response.destroyed) {
            return;
        }
        response.writeHead(status, { ...headers, "Content-Length": Buffer.byteLength(body) });
        response.end(body);
        this.afterAnswer(request.socket, request, { status, headers, body });
    }
}

/** Bytes of a complete answer, as they stand on the wire. */
export function encodeAnswer({ status, headers, body }) {
    const lines = Object.entries({ ...headers, "Content-Length": Buffer.byteLength(body) })
        .map(([name, value]) => `${name}: ${value}\r\n`).join("");
    const reasons = { 200: "OK", 421: "Misdirected Request", 503: "Service Unavailable", 409: "Conflict" };
    return `HTTP/1.1 ${status} ${reasons[status] ?? "Answer"}\r\n${lines}\r\n${body}`;
}
