import type { Milliseconds } from "@arbutusdoor/common";
import { Action } from "../kernel/action.js";
import { actionManager } from "../kernel/actionManager.js";
import type { Input } from "../kernel/input.js";
import type { Step } from "../kernel/step.js";
import { sendRows } from "../messages/sendRows.js";
import { handleRevocation } from "../messages/handleRevocation.js";
import { handleRevocationAnswer } from "../messages/handleRevocationAnswer.js";
import { handleCoordinatorHeartbeat } from "../messages/handleCoordinatorHeartbeat.js";
import { takeHostStatus } from "../messages/takeHostStatus.js";
import { handleSupport } from "../messages/handleSupport.js";
import { handleSupportRequest } from "../messages/handleSupportRequest.js";
import { takeReport } from "../messages/takeReport.js";
import { takeRetired } from "../messages/takeRetired.js";
import { takeSliceStopped } from "../messages/takeSliceStopped.js";
import { handleRevocationWithdrawal } from "../messages/handleRevocationWithdrawal.js";
import type { HostState } from "../state/hostState.js";
import { adoptRows } from "../table/adoptRows.js";

/** A peer's message. */
export class PeerMessageAction extends Action<"peerMessage"> {
    readonly name = "peerMessage";

    perform(state: HostState, input: Extract<Input, { kind: "peerMessage"; }>, now: Milliseconds): Step {
        const { from, message } = input;
        switch (message.kind) {
            case "rows":
                return adoptRows(state, message.rows, now);
            case "rowsWanted":
                return sendRows(state, from.host);
            case "deciderHere":
                return handleCoordinatorHeartbeat(state, from, message, now);
            case "hostStatus":
                return takeHostStatus(state, from, message);
            case "serverReport":
                return takeReport(state, from, message.report, now);
            case "bar":
                return handleRevocation(state, from, message, now);
            case "barConfirmed":
            case "barRefused":
                return handleRevocationAnswer(state, from, message, now);
            case "unbar":
                return handleRevocationWithdrawal(state, from, message, now);
            case "promisesWanted":
                return handleSupportRequest(state, from, message, now);
            case "promised":
                return handleSupport(state, from, message);
            case "sliceStopped":
                return takeSliceStopped(state, from, message);
            case "retired":
                return takeRetired(state, from, message);
        }
    }
}

actionManager.register(new PeerMessageAction());
