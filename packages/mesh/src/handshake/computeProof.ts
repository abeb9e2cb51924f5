import { createHmac } from "node:crypto";
import type { Hello } from "./hello.js";

/** Computes the proof that a host knows the shared token. It covers both hellos, so it is valid for one link and one direction only. */
export function computeProof(secret: string, prover: Hello, verifier: Hello): string {
    const covered = [prover, verifier].map(({ nonce, identity, serial }) => [
        nonce,
        identity.host,
        identity.incarnation,
        serial,
    ]);
    return createHmac("sha256", secret).update(JSON.stringify(covered)).digest("hex");
}
