import type { AdapterOptions } from "../http/adapterOptions.js";
import type { HttpAnswer } from "../http/httpAnswer.js";
import { HttpClient } from "../http/httpClient.js";
import type { ObjectRead } from "./objectRead.js";
import { ObjectStore } from "./objectStore.js";
import type { ObjectWrite } from "./objectWrite.js";

const FOUND_STATUS = 200;
const ABSENT_STATUS = 404;
const STORED_STATUSES: readonly number[] = [200, 201, 204];
const NOT_RUN_STATUSES: readonly number[] = [429, 503];

/**
 * Accesses the object store over HTTP: `PUT /objects/<name>` stores the body (200, 201 or 204), `GET /objects/<name>` returns it (200)
 * or reports that it is absent (404). 429 and 503 mean that the call was not accepted.
 */
export class HttpObjectStore extends ObjectStore {
    private readonly client: HttpClient;

    constructor(baseUrl: string, options: AdapterOptions) {
        super();
        this.client = new HttpClient({ name: "objects", baseUrl, ...options });
    }

    override async put(name: string, bytes: Uint8Array): Promise<ObjectWrite> {
        const answer = await this.client.call({ method: "PUT", path: getPath(name), body: bytes });
        if (answer.kind !== "answer") {
            return answer;
        }
        if (STORED_STATUSES.includes(answer.status)) {
            return { kind: "stored" };
        }
        const kind = NOT_RUN_STATUSES.includes(answer.status) ? "notRun" : "unknown";
        return { kind, reason: `status ${answer.status}` };
    }

    override async get(name: string): Promise<ObjectRead> {
        const answer = await this.client.call({ method: "GET", path: getPath(name) });
        return getRead(answer);
    }

    /** Closes the connections once calls in progress have ended. */
    async close(): Promise<void> {
        await this.client.close();
    }
}

function getPath(name: string): string {
    return `/objects/${encodeURIComponent(name)}`;
}

function getRead(answer: HttpAnswer): ObjectRead {
    if (answer.kind !== "answer") {
        return { kind: "unavailable", reason: answer.reason };
    }
    if (answer.status === FOUND_STATUS) {
        return { kind: "found", bytes: answer.bytes };
    }
    return answer.status === ABSENT_STATUS
        ? { kind: "absent" }
        : { kind: "unavailable", reason: `status ${answer.status}` };
}
