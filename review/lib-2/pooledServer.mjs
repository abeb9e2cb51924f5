// A server of a pooled service, as PROTOCOL.md describes it: it runs what is sent to its id, whatever the path.
import http from "node:http";
import { newIp, sleep } from "./rig.mjs";

export class PooledServer {
    constructor({ id, service, workMs = 50, onRun = () => undefined }) {
        Object.assign(this, { id, service, workMs, onRun });
        this.http = http.createServer((request, response) => void this.serve(request, response));
        this.http.keepAliveTimeout = 10_000;
    }
    async start() {
        const ip = newIp();
        await new Promise(resolve => this.http.listen(0, ip, resolve));
        this.address = `${ip}:${this.http.address().port}`;
    }
    async serve(request, response) {
        const id = request.headers["x-request-id"];
        const target = request.headers["x-target-instance"];
        request.on("error", () => undefined).resume();
        response.on("error", () => undefined);
        if (target !== undefined && target !== this.id) {
            response.writeHead(421, { "x-request-id": id, "x-not-executed": "1", "x-instance-id": this.id, "content-length": 0 }).end();
            return;
        }
        this.onRun(this, request, id);
        await sleep(this.workMs);
        const body = `${this.service} ran ${id}`;
        response.writeHead(200, { "x-request-id": id, "x-response-signature": "stand-in", "content-length": Buffer.byteLength(body) });
        response.end(body);
    }
    stop() {
        this.http.closeAllConnections();
        this.http.close();
    }
}
