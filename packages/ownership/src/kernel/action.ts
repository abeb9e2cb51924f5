import type { Milliseconds } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";
import type { Input } from "./input.js";
import type { Step } from "./step.js";

/** What the kernel does upon one kind of input. Actions register themselves with the action manager. */
export abstract class Action<Kind extends Input["kind"] = Input["kind"]> {
    /** Kind of input that the action is for. */
    abstract readonly name: Kind;

    /** Decides. Pure: the same arguments give the same step. */
    abstract perform(state: HostState, input: Extract<Input, { kind: Kind; }>, now: Milliseconds): Step;
}
