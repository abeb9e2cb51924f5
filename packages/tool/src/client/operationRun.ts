import type { Clock } from "@arbutusdoor/common";
import type { z } from "zod";
import type { Call } from "./call.js";
import type { CallFailure } from "./callFailure.js";
import type { CallReply } from "./callReply.js";
import { getReason } from "./getReason.js";
import type { OperationOutcome } from "./operationOutcome.js";
import type { OperatorClient } from "./operatorClient.js";

const ROUNDS = 2;
const MAX_CALLS = 8;
const ROUND_WAIT_MS = 500;
const FAULT_STATUS = 500;

/** The kinds that every outcome of an operation shares; others are final. */
type Outcome = { readonly kind: string; readonly reason?: string; };

/**
 * Runs one operation on the hosts. The call carries an operation id, so the same call to another host, or once more to the
 * same one, reads back what became of it: no call takes effect twice.
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
     * @param shape shape of the typed outcome in the host's answer
     * @param isFinal whether an outcome holds even if an earlier call was lost
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

    /** Asks each host once, and once more if a call may have run. Ends after 8 calls at the latest. */
    async run(): Promise<OperationOutcome<Settled>> {
        let calls = 0;
        for (let round = 0; round < ROUNDS; round++) {
            if (round > 0 && !this.mayHaveRun) {
                break;
            }
            if (round > 0) {
                await this.clock.sleep(ROUND_WAIT_MS);
            }
            for (const host of this.client.hosts) {
                if (calls >= MAX_CALLS) {
                    break;
                }
                calls++;
                const outcome = this.judge(await this.client.call(host, this.call));
                if (outcome) {
                    return outcome;
                }
            }
        }
        return { kind: this.mayHaveRun ? "unknown" : "unreachable", reasons: this.reasons };
    }

    private judge(result: CallReply | CallFailure): OperationOutcome<Settled> | undefined {
        if (result.kind !== "reply") {
            return this.goOn(result.host, result.reason, result.kind === "lost");
        }
        const { host, status, json } = result;
        const parsed = this.shape.safeParse(json);
        if (!parsed.success) {
            return this.judgeRefusal(host, status, json);
        }
        const outcome = parsed.data;
        if (outcome.kind === "notRun" || outcome.kind === "unknown") {
            return this.goOn(host, outcome.reason ?? outcome.kind, outcome.kind === "unknown");
        }
        if (this.mayHaveRun && !this.isFinal(outcome)) {
            return this.goOn(host, getReason(status, json), false);
        }
        return { kind: "settled", host, outcome };
    }

    private judgeRefusal(host: string, status: number, json: unknown): OperationOutcome<Settled> | undefined {
        const reason = getReason(status, json);
        if (status < FAULT_STATUS && status >= 400 && !this.mayHaveRun) {
            return { kind: "refused", reason: `${host}: ${reason}` };
        }
        return this.goOn(host, reason, status >= FAULT_STATUS || status < 400);
    }

    private goOn(host: string, reason: string, mayHaveRun: boolean): undefined {
        this.mayHaveRun ||= mayHaveRun;
        const line = `${host}: ${reason}`;
        if (!this.reasons.includes(line)) {
            this.reasons.push(line);
        }
        return undefined;
    }
}
