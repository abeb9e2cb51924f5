import type { ServerId } from "@arbutusdoor/common";

/** Why a server was chosen. */
type ChoiceReason =
    /** It has the lowest cost, wherever it is. */
    | "cost"
    /** It is ejected, and this request probes it. */
    | "probe"
    /** Local, and expected to answer within the target latency. */
    | "inTime"
    /** Local; no local server is expected to answer in time, but the request was not drawn to leave. */
    | "kept"
    /** Local; the request was drawn to leave, but no remote server is expected to be enough faster. */
    | "noGain"
    /** Remote; the request was drawn to leave. */
    | "spilled"
    /** Remote; no local server may get a request. */
    | "noLocal"
    /** Remote; the local servers have stopped to answer. */
    | "localSilent";

/** The server of a request and the reason for it. */
export type PoolChoice = {
    readonly server: ServerId;
    readonly reason: ChoiceReason;
};
