import { createRefusal, type Refusal } from "@arbutusdoor/common";
import type { DeliveryStatus } from "../protocol/deliveryStatus.js";

/**
 * How far a handed-over request is at the asker: `queued` (its head is not yet with a socket), `handed`, `answering`
 * (the head of the answer arrived), `asking` (its link was lost after the hand-over) or `ended`.
 */
type RelayPhase = "queued" | "handed" | "answering" | "asking" | "ended";

/** Something that happened to a handed-over request. */
type RelayEvent =
    | { readonly kind: "tooLarge"; }
    | { readonly kind: "handed"; }
    | { readonly kind: "answered"; }
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "answerEnded"; }
    | { readonly kind: "answerBroken"; }
    | { readonly kind: "linkLost"; }
    | { readonly kind: "peerRestarted"; }
    | { readonly kind: "verdict"; readonly verdict: DeliveryStatus; }
    | { readonly kind: "askTimedOut"; }
    | { readonly kind: "deadlinePassed"; }
    | { readonly kind: "cancelled"; };

/** What the asker does: `settle` gives the caller a refusal, `deliver` the answer. */
type RelayAction =
    | { readonly kind: "settle"; readonly refusal: Refusal; }
    | { readonly kind: "deliver"; }
    | { readonly kind: "dropOrphan"; }
    | { readonly kind: "cancelAtPeer"; }
    | { readonly kind: "breakAnswer"; }
    | { readonly kind: "ask"; };

type RelayStep = { readonly phase: RelayPhase; readonly actions: readonly RelayAction[]; };

/** The next phase of a handed-over request and what to do. Events that no longer matter change nothing. */
export function stepRelay(phase: RelayPhase, event: RelayEvent): RelayStep {
    switch (event.kind) {
        case "tooLarge":
            return end(
                createRefusal("malformedRequest", "the head of the request is too large to hand over"),
            );
        case "handed":
            return phase === "queued" ? go("handed") : go(phase);
        case "answered":
            return phase === "handed"
                ? go("answering", { kind: "deliver" })
                : go(phase, { kind: "dropOrphan" });
        case "refused":
            return phase === "handed" ? end(event.refusal) : go(phase, { kind: "dropOrphan" });
        case "answerEnded":
            return phase === "answering" ? go("ended") : go(phase);
        case "answerBroken":
            return phase === "answering" ? go("ended", { kind: "breakAnswer" }) : go(phase);
        case "linkLost":
            return stepLinkLost(phase);
        case "peerRestarted":
            return phase === "asking" ? end(getLost("the entry host restarted")) : go(phase);
        case "verdict":
            return phase === "asking" ? end(getVerdictRefusal(event.verdict)) : go(phase);
        case "askTimedOut":
            return phase === "asking" ? end(getLost("the entry host does not answer")) : go(phase);
        case "deadlinePassed":
            return stepDeadline(phase);
        case "cancelled":
            return stepCancelled(phase);
    }
}

function stepLinkLost(phase: RelayPhase): RelayStep {
    switch (phase) {
        case "queued":
            return end(createRefusal("relayUnreachable", "the link was lost before the request was sent"));
        case "handed":
            return go("asking", { kind: "ask" });
        case "answering":
            return go("ended", { kind: "breakAnswer" });
        default:
            return go(phase);
    }
}

function stepDeadline(phase: RelayPhase): RelayStep {
    switch (phase) {
        case "queued":
            return end(
                createRefusal("deadlineBeforeStart", "the deadline passed before the request was sent"),
            );
        case "handed":
            return end(createRefusal("deadlineAfterStart", "no answer before the deadline"), {
                kind: "cancelAtPeer",
            });
        case "asking":
            return end(getLost("no word from the entry host before the deadline"));
        default:
            return go(phase);
    }
}

function stepCancelled(phase: RelayPhase): RelayStep {
    const refusal = createRefusal("callerGone", "the caller left");
    switch (phase) {
        case "queued":
        case "asking":
            return end(refusal);
        case "handed":
            return end(refusal, { kind: "cancelAtPeer" });
        case "answering":
            return go("ended", { kind: "cancelAtPeer" }, { kind: "breakAnswer" });
        case "ended":
            return go(phase);
    }
}

function getVerdictRefusal(verdict: DeliveryStatus): Refusal {
    switch (verdict.kind) {
        case "notReceived":
            return createRefusal("relayNotReceived", "the entry host never received the request");
        case "refused":
            return verdict.refusal;
        case "received":
            return getLost("the link was lost after the entry host received the request");
    }
}

function getLost(detail: string): Refusal {
    return createRefusal("relayLost", detail);
}

function go(phase: RelayPhase, ...actions: readonly RelayAction[]): RelayStep {
    return { phase, actions };
}

function end(refusal: Refusal, ...actions: readonly RelayAction[]): RelayStep {
    return go("ended", { kind: "settle", refusal }, ...actions);
}
