// Stand-in of the platform's metadata store (PROTOCOL.md): rows, conditional transactions and a feed of changes. The operator and the
// servers write through the methods of this class, the hosts over HTTP.
import { createServer } from "node:http";

const MAX_ROWS = 500;

export class Store {
    constructor() {
        this.rows = new Map();
        this.changes = [];
        this.version = 0;
        this.waiting = new Set();
        /** Asked for each call of a host; may return a status that is sent instead of an answer, or "hang". */
        this.fault = () => undefined;
        this.server = createServer((request, response) => this.handle(request, response));
    }

    async listen(ip) {
        await new Promise(resolve => this.server.listen(0, ip, resolve));
        this.address = `${ip}:${this.server.address().port}`;
    }

    close() {
        this.server.close();
        this.server.closeAllConnections();
    }

    put(table, key, content, part = "") {
        this.version++;
        this.write({ table, part, key, value: Buffer.from(JSON.stringify(content)).toString("base64") });
        this.notify();
    }

    drop(table, key, part = "") {
        this.version++;
        this.write({ table, part, key, deleted: true });
        this.notify();
    }

    read(table, key, part = "") {
        const row = this.rows.get(getName(table, part, key));
        return row && Buffer.from(row.value, "base64");
    }

    write(row) {
        const stored = { ...row, ver: this.version };
        const name = getName(row.table, row.part, row.key);
        if (row.deleted) {
            this.rows.delete(name);
        }
        else {
            this.rows.set(name, stored);
        }
        this.changes.push(stored);
    }

    notify() {
        const waiting = [...this.waiting];
        this.waiting.clear();
        waiting.forEach(wake => wake());
    }

    async handle(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const url = new URL(request.url, "http://store");
        const fault = this.fault(url, request);
        if (fault === "hang") {
            return;
        }
        if (fault !== undefined) {
            send(response, fault, {});
            return;
        }
        if (url.pathname === "/-/rows-tx") {
            this.transact(JSON.parse(Buffer.concat(chunks).toString()), response);
        }
        else if (url.pathname === "/-/rows-get") {
            this.get(url.searchParams, response);
        }
        else if (url.pathname === "/-/rows-feed") {
            await this.feed(url.searchParams, response);
        }
        else {
            send(response, 404, {});
        }
    }

    transact(body, response) {
        const expected = body["expected-rev"] ?? [];
        const current = expected.map(({ table, part, key }) =>
            this.rows.get(getName(table, part, key)) ?? { table, part, key, ver: 0 }
        );
        if (expected.some(({ ver }, index) => current[index].ver !== ver)) {
            send(response, 412, { ...this.stamp(), rows: current });
            return;
        }
        this.version++;
        (body["set-keys"] ?? []).forEach(row => this.write(row));
        (body["remove"] ?? []).forEach(row => this.write({ ...row, deleted: true }));
        send(response, 200, this.stamp());
        this.notify();
    }

    get(query, response) {
        const table = query.get("table");
        const part = query.get("part") ?? "";
        const from = Buffer.from(query.get("from") ?? "");
        const to = query.get("target");
        const limit = Math.min(MAX_ROWS, Number(query.get("limit") ?? MAX_ROWS));
        const rows = [...this.rows.values()]
            .filter(row => row.table === table && row.part === part)
            .filter(({ key }) => Buffer.compare(Buffer.from(key), from) >= 0)
            .filter(({ key }) => to === null || Buffer.compare(Buffer.from(key), Buffer.from(to)) < 0)
            .sort((one, other) => Buffer.compare(Buffer.from(one.key), Buffer.from(other.key)));
        send(response, 200, { ...this.stamp(), rows: rows.slice(0, limit), "has-more": rows.length > limit });
    }

    async feed(query, response) {
        const table = query.get("table");
        const after = Number(query.get("after"));
        const until = performance.now() + Number(query.get("wait-ms") ?? 0);
        for (;;) {
            const newest = new Map();
            for (const row of this.changes) {
                if (row.table === table && row.ver > after) {
                    newest.delete(getName(row.table, row.part, row.key));
                    newest.set(getName(row.table, row.part, row.key), row);
                }
            }
            const left = until - performance.now();
            if (newest.size > 0 || left <= 0 || response.destroyed) {
                send(response, 200, { ...this.stamp(), rows: [...newest.values()] });
                return;
            }
            await new Promise(resolve => {
                const timer = setTimeout(resolve, left);
                this.waiting.add(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
    }

    stamp() {
        return { ver: this.version, now: `${performance.now().toFixed(3)}ms` };
    }
}

function send(response, status, body) {
    if (response.destroyed) {
        return;
    }
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}

function getName(table, part, key) {
    return JSON.stringify([table, part, key]);
}
