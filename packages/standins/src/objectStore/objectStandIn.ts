import type { Clock } from "@arbutusdoor/common";
import type { ServerResponse } from "node:http";
import { Journal } from "../common/journal.js";
import type { Place } from "../common/place.js";
import { readBody } from "../common/readBody.js";
import { sendJson } from "../common/sendJson.js";
import { StandIn } from "../common/standIn.js";
import type { StandInRequest } from "../common/standInRequest.js";

type ObjectEntry = {
    readonly time: number;
    readonly action: "put" | "get";
    readonly name: string;
    readonly bytes: number | undefined;
};

/** In the place of the object store: named bytes in memory. */
export class ObjectStandIn extends StandIn {
    private readonly objects = new Map<string, Buffer>();
    private readonly journal: Journal<ObjectEntry>;
    private readonly objectLimit: number;

    constructor(
        parts: { readonly clock: Clock; readonly journalLimit: number; readonly objectLimit: number; },
        place: Place,
    ) {
        super(parts.clock, place);
        this.journal = new Journal(parts.journalLimit);
        this.objectLimit = parts.objectLimit;
        this.app.put("/objects/:name", this.withFaults((request, response) => this.put(request, response)));
        this.app.get("/objects/:name", this.withFaults((request, response) => this.get(request, response)));
    }

    override readJournal(): unknown {
        return { kind: "objectStore", ...this.journal.read(), objectCount: this.objects.size };
    }

    private async put(request: StandInRequest, response: ServerResponse): Promise<void> {
        const name = decodeURIComponent(String(request.params.name));
        const bytes = await readBody(request);
        if (!bytes) {
            sendJson(response, 400, { error: "the body broke off or is too long" });
            return;
        }
        if (this.objects.size >= this.objectLimit) {
            sendJson(response, 503, { error: "the store is full" });
            return;
        }
        this.objects.set(name, bytes);
        this.journal.add({ time: this.clock.wallTime(), action: "put", name, bytes: bytes.length });
        this.answerEffect(response, 201, { name });
    }

    private get(request: StandInRequest, response: ServerResponse): void {
        const name = decodeURIComponent(String(request.params.name));
        const bytes = this.objects.get(name);
        this.journal.add({ time: this.clock.wallTime(), action: "get", name, bytes: bytes?.length });
        if (!bytes) {
            sendJson(response, 404, { error: "no such object" });
            return;
        }
        response.writeHead(200, { "content-length": bytes.length });
        response.end(bytes);
    }
}
