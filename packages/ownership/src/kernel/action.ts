import type { Milliseconds } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";
import type { Input } from "./input.js";
import type { Step } from "./step.js";

/** Handles one kind of input of the kernel. Actions register themselves in the action registry. */
export abstract class Action<Kind extends Input["kind"] = Input["kind"]> {
    /** Kind of input that the action handles. */
    abstract readonly name: Kind;

    /** Handles one input. Pure: the same arguments give the same step. */
    abstract perform(state: HostState, input: Extract<Input, { kind: Kind; }>, now: Milliseconds): Step;
}
