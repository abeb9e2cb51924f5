import { type HostState, type Input, type Step } from "@arbutusdoor/ownership";

/** Replaces a step of the kernel, to simulate a faulty host. */
export type StepFault = (
    step: { readonly before: HostState; readonly input: Input; readonly after: Step; readonly now: number; },
) => Step;
