import type { Clock } from "@arbutusdoor/common";
import type * as z from "zod";
import type { Call } from "./call.js";
import type { CallFailure } from "./callFailure.js";
import type { CallReply } from "./callReply.js";
import { getReason } from "./getReason.js";
import type { OperationOutcome } from "./operationOutcome.js";
import type { OperatorClient } from "./operatorClient.js";

const PASSES = 2;
const MAX_CALLS = 8;
const PASS_INTERVAL_MS = 500;
const FAULT_STATUS = 500;

/** Members that the outcomes of all operations share. Kinds other than `notRun` and `unknown` report a result. */
type Outcome = { readonly kind: string; readonly reason?: string; };

/**
 * Runs one operation through one of the hosts. The call carries an operation id, so repeating it on the same or another host
 * returns the recorded outcome: no operation takes effect twice.
 */
export class OperationRun<Settled extends Outcome> {
    private readonly client: OperatorClient;
    private readonly clock: Clock;
    private readonly call: Call;
    private readonly shape: z.ZodType<Settled>;
    private readonly isFinal: (outcome: Settled) => boolean;
    private readonly reasons: string[] = [];
    private mayHaveRun = false;

    /**
     * @param shape schema of the typed outcome in the host's answer
     * @param isFinal whether an outcome is conclusive even if the answer to an earlier call was lost
     */
    constructor(
        client: OperatorClient,
        clock: Clock,
        call: Call,
        shape: z.ZodType<Settled>,
        isFinal: (outcome: Settled) => boolean,
    ) {
        this.client = client;
        this.clock = clock;
        this.call = call;
        this.shape = shape;
        this.isFinal = isFinal;
    }

    /** Calls each host once, and a second time if a call may have taken effect. Makes at most 8 calls. */
    async run(): Promise<OperationOutcome<Settled>> {
        let calls = 0;
        for (let pass = 0; pass < PASSES; pass++) {
            if (pass > 0 && !this.mayHaveRun) {
                break;
            }
            if (pass > 0) {
                await this.clock.sleep(PASS_INTERVAL_MS);
            }
            for (const host of this.client.hosts) {
                if (calls >= MAX_CALLS) {
                    break;
                }
                calls++;
                const outcome = this.evaluate(await this.client.call(host, this.call));
                if (outcome) {
                    return outcome;
                }
            }
        }
        return { kind: this.mayHaveRun ? "unknown" : "unreachable", reasons: this.reasons };
    }

    private evaluate(result: CallReply | CallFailure): OperationOutcome<Settled> | undefined {
        if (result.kind !== "reply") {
            return this.recordFailure(result.host, result.reason, result.kind === "lost");
        }
        const { host, status, json } = result;
        const parsed = this.shape.safeParse(json);
        if (!parsed.success) {
            return this.evaluateRefusal(host, status, json);
        }
        const outcome = parsed.data;
        if (outcome.kind === "notRun" || outcome.kind === "unknown") {
            return this.recordFailure(host, outcome.reason ?? outcome.kind, outcome.kind === "unknown");
        }
        if (this.mayHaveRun && !this.isFinal(outcome)) {
            return this.recordFailure(host, getReason(status, json), false);
        }
        return { kind: "settled", host, outcome };
    }

    private evaluateRefusal(
        host: string,
        status: number,
        json: unknown,
    ): OperationOutcome<Settled> | undefined {
        const reason = getReason(status, json);
        if (status < FAULT_STATUS && status >= 400 && !this.mayHaveRun) {
            return { kind: "refused", reason: `${host}: ${reason}` };
        }
        return this.recordFailure(host, reason, status >= FAULT_STATUS || status < 400);
    }

    private recordFailure(host: string, reason: string, mayHaveRun: boolean): undefined {
        this.mayHaveRun ||= mayHaveRun;
        const line = `${host}: ${reason}`;
        if (!this.reasons.includes(line)) {
            this.reasons.push(line);
        }
        return undefined;
    }
}
