import type { PeerIdentity } from "@arbutusdoor/mesh";

/** Callbacks of a plug-in for changes of the links to peers. */
export type PeerListener = {
    readonly onUp?: (peer: PeerIdentity) => void;
    readonly onDown?: (peer: PeerIdentity) => void;
};
