import { createHmac } from "node:crypto";
import type { Hello } from "./hello.js";

/** Shows knowledge of the shared token: covers both hellos, so that it counts for one link and one direction. */
export function computeProof(secret: string, prover: Hello, verifier: Hello): string {
    const covered = [prover, verifier].map(({ nonce, identity, serial }) => [
        nonce,
        identity.host,
        identity.incarnation,
        serial,
    ]);
    return createHmac("sha256", secret).update(JSON.stringify(covered)).digest("hex");
}
