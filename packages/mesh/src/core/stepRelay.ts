import { createRefusal, type Refusal } from "@arbutusdoor/common";
import type { DeliveryStatus } from "../protocol/deliveryStatus.js";

/**
 * Phase of an outgoing relay: `queued` (its head is not yet written to the socket), `sent`, `answering` (the head
 * of the answer arrived), `querying` (its link was lost after it was sent) or `ended`.
 */
type RelayPhase = "queued" | "sent" | "answering" | "querying" | "ended";

/** An event in the life cycle of an outgoing relay. */
type RelayEvent =
    | { readonly kind: "tooLarge"; }
    | { readonly kind: "sent"; }
    | { readonly kind: "answered"; }
    | { readonly kind: "refused"; readonly refusal: Refusal; }
    | { readonly kind: "answerEnded"; }
    | { readonly kind: "answerBroken"; }
    | { readonly kind: "linkLost"; }
    | { readonly kind: "peerRestarted"; }
    | { readonly kind: "verdict"; readonly verdict: DeliveryStatus; }
    | { readonly kind: "queryTimedOut"; }
    | { readonly kind: "deadlinePassed"; }
    | { readonly kind: "cancelled"; };

/** What to do next: `settle` gives the caller a refusal, `deliver` the answer. */
type RelayAction =
    | { readonly kind: "settle"; readonly refusal: Refusal; }
    | { readonly kind: "deliver"; }
    | { readonly kind: "reportUnmatched"; }
    | { readonly kind: "cancelAtPeer"; }
    | { readonly kind: "breakAnswer"; }
    | { readonly kind: "queryStatus"; };

type RelayStep = { readonly phase: RelayPhase; readonly actions: readonly RelayAction[]; };

/** Returns the next phase of an outgoing relay and what to do. Events that no longer apply change nothing. */
export function stepRelay(phase: RelayPhase, event: RelayEvent): RelayStep {
    switch (event.kind) {
        case "tooLarge":
            return endWith(
                createRefusal("malformedRequest", "the head of the request is too large to hand over"),
            );
        case "sent":
            return phase === "queued" ? moveTo("sent") : moveTo(phase);
        case "answered":
            return phase === "sent"
                ? moveTo("answering", { kind: "deliver" })
                : moveTo(phase, { kind: "reportUnmatched" });
        case "refused":
            return phase === "sent" ? endWith(event.refusal) : moveTo(phase, { kind: "reportUnmatched" });
        case "answerEnded":
            return phase === "answering" ? moveTo("ended") : moveTo(phase);
        case "answerBroken":
            return phase === "answering" ? moveTo("ended", { kind: "breakAnswer" }) : moveTo(phase);
        case "linkLost":
            return stepLinkLost(phase);
        case "peerRestarted":
            return phase === "querying"
                ? endWith(createLostRefusal("the entry host restarted"))
                : moveTo(phase);
        case "verdict":
            return phase === "querying" ? endWith(getStatusRefusal(event.verdict)) : moveTo(phase);
        case "queryTimedOut":
            return phase === "querying"
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
        case "sent":
            return moveTo("querying", { kind: "queryStatus" });
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
        case "sent":
            return endWith(createRefusal("deadlineAfterStart", "no answer before the deadline"), {
                kind: "cancelAtPeer",
            });
        case "querying":
            return endWith(createLostRefusal("no word from the entry host before the deadline"));
        default:
            return moveTo(phase);
    }
}

function stepCancelled(phase: RelayPhase): RelayStep {
    const refusal = createRefusal("callerGone", "the caller left");
    switch (phase) {
        case "queued":
        case "querying":
            return endWith(refusal);
        case "sent":
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
