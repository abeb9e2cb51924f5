import type { DataCentreId, HostId, ServerId } from "@arbutusdoor/common";
import * as z from "zod";
import type { AdapterOptions } from "../http/adapterOptions.js";
import { HttpClient } from "../http/httpClient.js";
import { parseJson } from "../http/parseJson.js";
import { HostList } from "./hostList.js";
import type { HostListing } from "./hostListing.js";
import type { ListedHost } from "./listedHost.js";

const OK_STATUS = 200;

const hostSchema = z.object({
    name: z.string().min(1),
    role: z.enum(["entryHost", "backendServer"]),
    dataCentre: z.string().min(1),
    address: z.string().min(1),
    state: z.enum(["live", "leaving"]),
}).transform((host): ListedHost => ({
    ...host,
    name: host.name as HostId | ServerId,
    dataCentre: host.dataCentre as DataCentreId,
}));

const hostsSchema = z.object({ hosts: z.array(hostSchema) });

/** Reads the host list over HTTP: `GET /hosts` answers 200 with `{hosts: [{name, role, dataCentre, address, state}]}`. */
export class HttpHostList extends HostList {
    private readonly client: HttpClient;

    constructor(baseUrl: string, options: AdapterOptions) {
        super();
        this.client = new HttpClient({ name: "hosts", baseUrl, ...options });
    }

    override async list(): Promise<HostListing> {
        const answer = await this.client.call({ method: "GET", path: "/hosts" });
        if (answer.kind !== "answer") {
            return { kind: "unavailable", reason: answer.reason };
        }
        if (answer.status !== OK_STATUS) {
            return { kind: "unavailable", reason: `status ${answer.status}` };
        }
        const listing = parseJson(answer.bytes, hostsSchema);
        return listing
            ? { kind: "hosts", hosts: listing.hosts }
            : { kind: "unavailable", reason: "the answer is malformed" };
    }

    /** Closes the connections once calls in progress have ended. */
    async close(): Promise<void> {
        await this.client.close();
    }
}
