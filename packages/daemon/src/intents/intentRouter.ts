import type { ClassId, Clock, ServiceId } from "@arbutusdoor/common";
import { Readable } from "node:stream";
import type { CallerRequest } from "../entry/callerRequest.js";
import { RequestRouter } from "../routing/requestRouter.js";
import type { Answer } from "../serving/answer.js";
import { refuse } from "../serving/refuse.js";
import { captureBody } from "./captureBody.js";
import { getFingerprint } from "./getFingerprint.js";
import { getRecordedHeaders } from "./getRecordedHeaders.js";
import type { Intent } from "./intent.js";
import type { IntentOutcome } from "./intentOutcome.js";
import type { IntentRequest } from "./intentRequest.js";
import type { IntentSettings } from "./intentSettings.js";
import type { IntentStore } from "./intentStore.js";
import type { RecordedAnswer } from "./recordedAnswer.js";

type ServerAnswer = Extract<Answer, { kind: "answered"; }>;

/**
 * Routes requests with an idempotency key at most once: records the intent before the request is sent, and its outcome
 * before the caller gets the answer, if that succeeds within `recordWaitMs`. Passes other requests on unchanged.
 */
export class IntentRouter extends RequestRouter {
    private readonly clock: Clock;
    private readonly store: IntentStore;
    private readonly settings: IntentSettings;
    private readonly inner: RequestRouter;

    /** @param inner router of the requests that may be sent */
    constructor(clock: Clock, store: IntentStore, settings: IntentSettings, inner: RequestRouter) {
        super();
        this.clock = clock;
        this.store = store;
        this.settings = settings;
        this.inner = inner;
    }

    override async route(request: CallerRequest): Promise<Answer> {
        if (request.idempotencyKey === undefined) {
            return this.inner.route(request);
        }
        const beginning = await this.store.begin(this.createIntentRequest(request, request.idempotencyKey));
        switch (beginning.kind) {
            case "proceed":
                return this.run(request, beginning.intent);
            case "recorded":
                return createAnswer(beginning.answer);
            case "refusal":
                return beginning;
        }
    }

    private createIntentRequest(request: CallerRequest, idempotencyKey: string): IntentRequest {
        const { id, tenant, service, requestClass, key, method, path, body, deadlineAt } = request;
        return {
            requestId: id,
            tenant,
            service: service.name as ServiceId,
            classId: requestClass.name as ClassId,
            key,
            idempotencyKey,
            fingerprint: getFingerprint(method, path, body.wholeBytes),
            deadline: Math.max(0, deadlineAt - this.clock.now()),
            outage: requestClass.intentOutage,
        };
    }

    private async run(request: CallerRequest, intent: Intent): Promise<Answer> {
        if (request.signal.aborted) {
            await this.finish(intent, { kind: "notRun" });
            return refuse("callerGone", "the caller left before the request was sent");
        }
        const answer = await this.inner.route(request);
        if (answer.kind === "answered") {
            return this.record(intent, answer);
        }
        const isNotRun = answer.refusal.outcome === "notRun";
        await this.finish(intent, { kind: isNotRun ? "notRun" : "unknown" });
        return answer;
    }

    private async record(intent: Intent, answer: ServerAnswer): Promise<Answer> {
        const captured = await captureBody(answer.body, this.settings.answerLimitBytes);
        const { status } = answer;
        const headers = getRecordedHeaders(answer.headers);
        switch (captured.kind) {
            case "whole": {
                const { bytes, digest } = captured;
                const recorded = { status, headers, body: bytes.toString("base64"), digest };
                await this.finish(intent, { kind: "answered", answer: recorded });
                return { ...answer, body: createBody(bytes) };
            }
            case "large":
                void this.recordWhenEnded(intent, { status, headers }, captured.ended);
                return { ...answer, body: captured.body };
            case "broken":
                await this.finish(intent, { kind: "unknown" });
                return refuse("connectionLost", "the backend server's answer broke off");
        }
    }

    private async recordWhenEnded(
        intent: Intent,
        head: Pick<RecordedAnswer, "status" | "headers">,
        ended: Promise<RecordedAnswer["digest"] | undefined>,
    ): Promise<void> {
        const digest = await ended;
        const outcome: IntentOutcome = digest === undefined
            ? { kind: "unknown" }
            : { kind: "answered", answer: { ...head, digest } };
        await this.store.finish(intent, outcome);
    }

    /** Waits until the outcome is recorded, but at most `recordWaitMs`, so that the caller is not held up. */
    private async finish(intent: Intent, outcome: IntentOutcome): Promise<void> {
        await Promise.race([
            this.store.finish(intent, outcome),
            this.clock.sleep(this.settings.recordWaitMs),
        ]);
    }
}

function createAnswer({ status, headers, body }: RecordedAnswer): Answer {
    return { kind: "answered", status, headers, body: createBody(Buffer.from(body ?? "", "base64")) };
}

function createBody(bytes: Buffer): Readable {
    return Readable.from(bytes.length === 0 ? [] : [bytes], { objectMode: false });
}
