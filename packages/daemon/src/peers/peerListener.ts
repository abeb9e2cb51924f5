import type { PeerIdentity } from "@arbutusdoor/mesh";

/** What a plug-in does when something happens to the links to peers. */
export type PeerListener = {
    readonly onUp?: (peer: PeerIdentity) => void;
    readonly onDown?: (peer: PeerIdentity) => void;
};
