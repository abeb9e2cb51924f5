import type { PeerIdentity, RelayAnswer, RelayRequest } from "@arbutusdoor/mesh";
import type { Readable } from "node:stream";

/** Runs a request that a peer relays to this host; see MeshHandler.onRelay. */
export type RelayHandler = (
    peer: PeerIdentity,
    request: RelayRequest,
    body: Readable | undefined,
    signal: AbortSignal,
) => Promise<RelayAnswer>;
