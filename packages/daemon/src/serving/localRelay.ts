import type { SliceGeneration } from "@arbutusdoor/clients";
import type { ClassId, Clock, HostId, RequestId, ServerId, ServiceId } from "@arbutusdoor/common";
import type { Declaration } from "@arbutusdoor/configuration";
import type { RelayAnswer, RelayRequest } from "@arbutusdoor/mesh";
import type { Readable } from "node:stream";
import type { CallerRequest } from "../entry/callerRequest.js";
import type { Peers } from "../peers/peers.js";
import { RelayPort } from "../routing/relayPort.js";
import type { Answer } from "./answer.js";
import { refuse } from "./refuse.js";
import type { ServerDispatcher } from "./serverDispatcher.js";

/** Forwards requests to this host's own dispatcher or to a peer, and serves those that peers relay to this host. */
export class LocalRelay extends RelayPort {
    private readonly clock: Clock;
    private readonly peers: Peers;
    private readonly dispatcher: ServerDispatcher;
    private readonly getDeclaration: () => Declaration | undefined;
    private attempts = 0;

    constructor(
        clock: Clock,
        peers: Peers,
        dispatcher: ServerDispatcher,
        getDeclaration: () => Declaration | undefined,
    ) {
        super();
        this.clock = clock;
        this.peers = peers;
        this.dispatcher = dispatcher;
        this.getDeclaration = getDeclaration;
    }

    override forward(
        host: HostId,
        request: CallerRequest,
        server: ServerId,
        slice: SliceGeneration | undefined,
    ): Promise<Answer> {
        const relayed = this.createRelayRequest(request, server, slice);
        const body = request.body.open();
        if (host === this.peers.self.host) {
            return this.serve(relayed, body, request.signal);
        }
        return this.peers.relay(host, relayed, body, request.signal);
    }

    /** Passes a request to this host's dispatcher; refuses it if the declaration here lacks its service, class or server. */
    serve(request: RelayRequest, body: Readable | undefined, signal: AbortSignal): Promise<RelayAnswer> {
        const declaration = this.getDeclaration();
        const service = declaration?.services.find(other => other.name === request.service);
        const requestClass = service?.classes.find(other => other.name === request.classId);
        const server = declaration?.servers.find(other => other.name === request.server);
        if (!declaration || !requestClass || !server) {
            return Promise.resolve(
                refuse("staleOwner", "this entry host does not know the service, class or server"),
            );
        }
        const { id, slice, method, path, headers } = request;
        return this.dispatcher.serve({
            id,
            tenant: declaration.tenant,
            service: request.service,
            requestClass,
            server: server.name as ServerId,
            address: server.address,
            slice,
            key: request.key,
            method,
            path,
            headers,
            body,
            deadlineAt: this.clock.now() + request.deadline,
            signal,
        }, server.slots);
    }

    /** Each attempt has its own id, so that a peer never mistakes a retry for a duplicate of the previous attempt. */
    private createRelayRequest(
        request: CallerRequest,
        server: ServerId,
        slice: SliceGeneration | undefined,
    ): RelayRequest {
        this.attempts++;
        return {
            id: `${request.id}.${this.attempts}` as RequestId,
            service: request.service.name as ServiceId,
            key: request.key,
            classId: request.requestClass.name as ClassId,
            method: request.method,
            path: request.path,
            headers: request.headers,
            deadline: Math.max(0, request.deadlineAt - this.clock.now()),
            server,
            slice,
            hasBody: request.body.isPresent,
            isRepeatable: request.requestClass.isIdempotent && request.body.isRepeatable,
        };
    }
}
