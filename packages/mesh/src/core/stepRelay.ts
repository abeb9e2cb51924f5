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
            return endWith(
                createRefusal("malformedRequest", "the head of the request is too large to hand over"),
            );
        case "handed":
            return phase === "queued" ? moveTo("handed") : moveTo(phase);
        case "answered":
            return phase === "handed"
                ? moveTo("answering", { kind: "deliver" })
                : moveTo(phase, { kind: "dropOrphan" });
        case "refused":
            return phase === "handed" ? endWith(event.refusal) : moveTo(phase, { kind: "dropOrphan" });
        case "answerEnded":
            return phase === "answering" ? moveTo("ended") : moveTo(phase);
        case "answerBroken":
            return phase === "answering" ? moveTo("ended", { kind: "breakAnswer" }) : moveTo(phase);
        case "linkLost":
            return stepLinkLost(phase);
        case "peerRestarted":
            return phase === "asking"
                ? endWith(createLostRefusal("the entry host restarted"))
                : moveTo(phase);
        case "verdict":
            return phase === "asking" ? endWith(getStatusRefusal(event.verdict)) : moveTo(phase);
        case "askTimedOut":
            return phase === "asking"
                ? endWith(createLostRefusal("the entry host does not answer"))
                : moveTo(phase);
        case "deadlinePassed":
            return stepDeadline(phase);
        case "cancelled":
            return stepCancelled(phase);
    }
}

function stepLinkLost(phase: RelayPhase): RelayStep {
    switch (phase) {
        case "queued":
            return endWith(
                createRefusal("relayUnreachable", "the link was lost before the request was sent"),
            );
        case "handed":
            return moveTo("asking", { kind: "ask" });
        case "answering":
            return moveTo("ended", { kind: "breakAnswer" });
        default:
            return moveTo(phase);
    }
}

function stepDeadline(phase: RelayPhase): RelayStep {
    switch (phase) {
        case "queued":
            return endWith(
                createRefusal("deadlineBeforeStart", "the deadline passed before the request was sent"),
            );
        case "handed":
            return endWith(createRefusal("deadlineAfterStart", "no answer before the deadline"), {
                kind: "cancelAtPeer",
            });
        case "asking":
            return endWith(createLostRefusal("no word from the entry host before the deadline"));
        default:
            return moveTo(phase);
    }
}

function stepCancelled(phase: RelayPhase): RelayStep {
    const refusal = createRefusal("callerGone", "the caller left");
    switch (phase) {
        case "queued":
        case "asking":
            return endWith(refusal);
        case "handed":
            return endWith(refusal, { kind: "cancelAtPeer" });
        case "answering":
            return moveTo("ended", { kind: "cancelAtPeer" }, { kind: "breakAnswer" });
        case "ended":
            return moveTo(phase);
    }
}

function getStatusRefusal(verdict: DeliveryStatus): Refusal {
    switch (verdict.kind) {
        case "notReceived":
            return createRefusal("relayNotReceived", "the entry host never received the request");
        case "refused":
            return verdict.refusal;
        case "received":
            return createLostRefusal("the link was lost after the entry host received the request");
    }
}

function createLostRefusal(detail: string): Refusal {
    return createRefusal("relayLost", detail);
}

function moveTo(phase: RelayPhase, ...actions: readonly RelayAction[]): RelayStep {
    return { phase, actions };
}

function endWith(refusal: Refusal, ...actions: readonly RelayAction[]): RelayStep {
    return moveTo("ended", { kind: "settle", refusal }, ...actions);
}
