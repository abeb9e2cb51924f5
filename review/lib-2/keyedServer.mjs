// A server that holds keys by grants, as PROTOCOL.md describes it.
import http from "node:http";
import { newIp, sleep } from "./rig.mjs";

const KEYS = 65_536;
const SLOTS = 4;
const QUEUE = 16;

export class KeyedServer {
    constructor({ id, record, workMs = 100, onGrant = () => undefined, onRun = () => undefined }) {
        Object.assign(this, { id, record, workMs, onGrant, onRun });
        /** The highest token seen of each key, and until when and with which token the key is held. */
        this.seen = new Float64Array(KEYS);
        this.until = new Float64Array(KEYS);
        this.since = new Float64Array(KEYS);
        this.running = new Map();
        this.waiting = 0;
        this.http = http.createServer((request, response) => void this.handle(request, response));
        this.http.keepAliveTimeout = 10_000;
    }
    async start() {
        const ip = newIp();
        await new Promise(resolve => this.http.listen(0, ip, resolve));
        this.address = `${ip}:${this.http.address().port}`;
    }
    holds(key) {
        return this.until[key] > this.record.now();
    }
    async handle(request, response) {
        const arrivedAt = this.record.now();
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        const isOrder = request.url === "/-/grant" || request.url === "/-/release";
        const target = request.headers["x-target-instance"];
        if (target !== undefined && target !== this.id) {
            request.resume();
            this.answer(request, response, 421, { "x-not-executed": "1", "x-instance-id": this.id });
        }
        else if (isOrder) {
            const chunks = [];
            for await (const chunk of request) chunks.push(chunk);
            await this.takeOrder(request, response, JSON.parse(Buffer.concat(chunks)), arrivedAt);
        }
        else {
            request.resume();
            await this.serve(request, response);
        }
    }
    async takeOrder(request, response, { from, target, fence, hold_time: hold }, arrivedAt) {
        const now = this.record.now();
        if (request.url === "/-/grant") {
            for (let key = from; key <= target; key++) {
                if (this.seen[key] > fence) {
                    this.answer(request, response, 409, {});
                    return;
                }
            }
            for (let key = from; key <= target; key++) {
                if (!this.holds(key)) this.since[key] = now;
                this.seen[key] = fence;
                this.until[key] = arrivedAt + Number.parseInt(hold, 10);
            }
            this.onGrant(this, { from, target, fence });
            this.answer(request, response, 200, {});
            return;
        }
        for (let key = from; key <= target; key++) {
            this.seen[key] = Math.max(this.seen[key], fence);
            this.until[key] = 0;
        }
        while ([...this.running.values()].some(key => key >= from && key <= target)) await sleep(5);
        this.answer(request, response, 200, { "x-handover": `${this.id}-${fence}` });
    }
    async serve(request, response) {
        const id = request.headers["x-request-id"];
        const key = Number(request.headers["x-shard-key"]);
        let isGone = false;
        response.once("close", () => isGone = true);
        if (this.running.size >= SLOTS) {
            if (this.waiting >= QUEUE) {
                this.answer(request, response, 503, { "x-not-executed": "1" });
                return;
            }
            this.waiting++;
            while (this.running.size >= SLOTS && !isGone) await sleep(5);
            this.waiting--;
            if (isGone) return;
        }
        if (!this.holds(key)) {
            this.answer(request, response, 421, { "x-not-executed": "1" });
            return;
        }
        this.running.set(response, key);
        this.onRun(this, key, id, request);
        await sleep(this.workMs);
        this.running.delete(response);
        const status = this.holds(key) ? 200 : 500;
        this.answer(request, response, status, { "x-response-signature": "stand-in" }, id);
    }
    answer(request, response, status, headers, body = "") {
        const id = request.headers["x-request-id"];
        response.writeHead(status, { ...headers, ...(id && { "x-request-id": id }), "content-length": Buffer.byteLength(body) });
        response.end(body);
    }
    stop() {
        this.http.closeAllConnections();
        this.http.close();
    }
}
