import { type HostState, type Input, type Step } from "@arbutusdoor/ownership";

/** What a test double may change: a step of the kernel, as a faulty host would take it. */
export type StepFault = (
    step: { readonly before: HostState; readonly input: Input; readonly after: Step; readonly now: number; },
) => Step;
