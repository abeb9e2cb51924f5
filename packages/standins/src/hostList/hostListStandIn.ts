import type { Clock } from "@arbutusdoor/common";
import type { ServerResponse } from "node:http";
import * as z from "zod";
import { Journal } from "../common/journal.js";
import type { Place } from "../common/place.js";
import { readJson } from "../common/readJson.js";
import { sendJson } from "../common/sendJson.js";
import { StandIn } from "../common/standIn.js";
import type { StandInRequest } from "../common/standInRequest.js";

const MAX_HOSTS = 20_000;
const HISTORY_LIMIT = 1_000;

const hostsSchema = z.object({
    hosts: z.array(z.object({
        name: z.string().min(1),
        role: z.enum(["entryHost", "backendServer"]),
        dataCentre: z.string().min(1),
        address: z.string().min(1),
        state: z.enum(["live", "leaving"]),
    })).max(MAX_HOSTS),
});

type Hosts = z.infer<typeof hostsSchema>["hosts"];
type HostListEntry = { readonly time: number; readonly hosts: Hosts; };

/** In the place of the list of hosts: `PUT /hosts` writes it, `GET /hosts` reads it as it was some time ago. */
export class HostListStandIn extends StandIn {
    private readonly history = new Journal<HostListEntry>(HISTORY_LIMIT);

    constructor(
        parts: { readonly clock: Clock; },
        place: Place,
    ) {
        super(parts.clock, place);
        this.app.put("/hosts", (request, response) => void this.write(request, response));
        this.app.get("/hosts", this.withFaults((...[, response]) => this.read(response)));
    }

    override readJournal(): unknown {
        return { kind: "hostList", ...this.history.read() };
    }

    /** Replaces the list. */
    setHosts(hosts: Hosts): void {
        this.history.add({ time: this.clock.wallTime(), hosts });
    }

    private async write(request: StandInRequest, response: ServerResponse): Promise<void> {
        const body = await readJson(request, hostsSchema);
        if (!body) {
            sendJson(response, 400, { error: "malformed hosts" });
            return;
        }
        this.setHosts(body.hosts);
        sendJson(response, 200, body);
    }

    private read(response: ServerResponse): void {
        const moment = this.clock.wallTime() - this.faults.staleMs;
        const past = this.history.read().entries.filter(entry => entry.time <= moment);
        sendJson(response, 200, { hosts: past.at(-1)?.hosts ?? [] });
    }
}
