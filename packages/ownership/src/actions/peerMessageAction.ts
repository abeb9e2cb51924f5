import type { Milliseconds } from "@arbutusdoor/common";
import { Action } from "../kernel/action.js";
import { actionRegistry } from "../kernel/actionRegistry.js";
import type { Input } from "../kernel/input.js";
import type { Step } from "../kernel/step.js";
import { handleCoordinatorHeartbeat } from "../messages/handleCoordinatorHeartbeat.js";
import { handleHostStatus } from "../messages/handleHostStatus.js";
import { handleReport } from "../messages/handleReport.js";
import { handleRetired } from "../messages/handleRetired.js";
import { handleRevocation } from "../messages/handleRevocation.js";
import { handleRevocationAnswer } from "../messages/handleRevocationAnswer.js";
import { handleRevocationWithdrawal } from "../messages/handleRevocationWithdrawal.js";
import { handleSliceStopped } from "../messages/handleSliceStopped.js";
import { handleSupport } from "../messages/handleSupport.js";
import { handleSupportRequest } from "../messages/handleSupportRequest.js";
import { sendRows } from "../messages/sendRows.js";
import type { HostState } from "../state/hostState.js";
import { adoptRows } from "../table/adoptRows.js";

/** A message from a peer. */
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
                return handleHostStatus(state, from, message);
            case "serverReport":
                return handleReport(state, from, message.report, now);
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
                return handleSliceStopped(state, from, message);
            case "retired":
                return handleRetired(state, from, message);
        }
    }
}

actionRegistry.register(new PeerMessageAction());
