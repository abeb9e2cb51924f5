import type { RandomSource } from "@arbutusdoor/common";
import type { Call } from "./call.js";
import type { CallerSettings } from "./callerSettings.js";

const LONG_ANSWER_SHARE = 0.1;
const LONG_ANSWER_BYTES = 150_000;

/** Draws the next request: its kind, service and key. */
export function newCall(settings: CallerSettings, random: RandomSource, index: number): Call {
    const choices = [
        ...settings.reads.map(service => ({ kind: "read" as const, service })),
        ...settings.filings.map(service => ({ kind: "once" as const, service })),
        ...settings.uploads.map(service => ({ kind: "upload" as const, service })),
    ];
    const { kind, service } = random.pick(choices);
    const key = Math.floor(settings.keys * random.nextFraction() ** 2);
    const name = `${settings.name}-${settings.seed}-${index}`;
    const path = `/${service}/key-${key}/${kind}?call=${name}`;
    switch (kind) {
        case "read":
            return { ...newRead(path, random), name, kind };
        case "once":
            return { ...newFiling(path, name), name, kind };
        case "upload":
            return { ...newUpload(path, settings.uploadBytes, random), name, kind };
    }
}

function newRead(path: string, random: RandomSource): Omit<Call, "name" | "kind"> {
    const isLong = random.nextFraction() < LONG_ANSWER_SHARE;
    const wanted = isLong ? `${path}&bytes=${LONG_ANSWER_BYTES}` : path;
    return { method: "GET", path: wanted, headers: {}, body: undefined };
}

function newFiling(path: string, name: string): Omit<Call, "name" | "kind"> {
    const headers = { "idempotency-key": name, "content-type": "text/plain" };
    return { method: "POST", path, headers, body: Buffer.from(`filing ${name}`) };
}

function newUpload(path: string, limit: number, random: RandomSource): Omit<Call, "name" | "kind"> {
    const body = Buffer.alloc(random.nextInteger(limit + 1), `log of ${path};`);
    return { method: "PUT", path, headers: { "content-type": "application/octet-stream" }, body };
}
