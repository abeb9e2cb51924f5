import type { Hello } from "./hello.js";

/** The hello in a greeting that carries more. */
export function extractHello(message: Hello): Hello {
    const { protocol, cluster, identity, startedAt, serial, nonce } = message;
    return { protocol, cluster, identity, startedAt, serial, nonce };
}
