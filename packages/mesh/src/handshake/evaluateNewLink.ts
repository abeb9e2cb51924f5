import type { Hello } from "./hello.js";

/** An open link to a host. */
type OpenLink = {
    /** The peer's hello on that link. */
    readonly hello: Hello;
    /** This host's serial of the link. */
    readonly serial: number;
};

/** What to do with a new connection to a host. */
type LinkDecision = "open" | "replace" | "duplicateLink" | "olderIncarnation";

/**
 * Decides which link of a pair of hosts stays. Only the host with the lower name decides, so both agree.
 * @param lost this host's serial of the link that the peer reports as lost; 0 for none
 */
export function evaluateNewLink(open: OpenLink | undefined, hello: Hello, lost: number): LinkDecision {
    if (!open) {
        return "open";
    }
    if (open.hello.identity.incarnation !== hello.identity.incarnation) {
        return isNewer(hello, open.hello) ? "replace" : "olderIncarnation";
    }
    return open.serial === lost ? "replace" : "duplicateLink";
}

function isNewer(hello: Hello, other: Hello): boolean {
    if (hello.startedAt !== other.startedAt) {
        return hello.startedAt > other.startedAt;
    }
    return hello.identity.incarnation > other.identity.incarnation;
}
