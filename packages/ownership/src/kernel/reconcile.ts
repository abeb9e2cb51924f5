import type { Milliseconds } from "@arbutusdoor/common";
import { plan } from "../coordinator/plan.js";
import { answerRevocations } from "../grantor/answerRevocations.js";
import { requestSupport } from "../grantor/requestSupport.js";
import { sendOrders } from "../grantor/sendOrders.js";
import { sendReports } from "../grantor/sendReports.js";
import type { HostState } from "../state/hostState.js";
import { scanRows } from "../table/scanRows.js";
import { sequence } from "./sequence.js";
import type { Step } from "./step.js";

/** Makes the decisions that follow from the state itself, whatever changed it. */
export function reconcile(state: HostState, now: Milliseconds, isTick: boolean): Step {
    return sequence(
        state,
        current => answerRevocations(current, now),
        current => current.isPlanDue || isTick ? plan(current, now) : { state: current, effects: [] },
        current => requestSupport(current, now),
        current => sendOrders(current, now),
        current => sendReports(current, now),
        current => scanRows(current, now),
    );
}
