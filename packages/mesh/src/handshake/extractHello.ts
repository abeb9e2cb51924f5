import type { Hello } from "./hello.js";

/** The hello in a greeting that carries more. */
export function extractHello(greeting: Hello): Hello {
    const { protocol, cluster, identity, startedAt, serial, nonce } = greeting;
    return { protocol, cluster, identity, startedAt, serial, nonce };
}
