import type { SliceGeneration } from "@arbutusdoor/clients";
import type { HostId, ServerId } from "@arbutusdoor/common";
import type { CallerRequest } from "../entry/callerRequest.js";
import type { Answer } from "../serving/answer.js";

/** Forwards a request to an entry host, this one or a peer, which sends it to the server. */
export abstract class RelayPort {
    /** Never rejects. A refusal `notRun` guarantees that the request did not and will not run. */
    abstract forward(
        host: HostId,
        request: CallerRequest,
        server: ServerId,
        slice: SliceGeneration | undefined,
    ): Promise<Answer>;
}
