import type { Session } from "./session.js";

/** Declares one server draining. */
export function drain(session: Session, server: string): void {
    session.declare(declaration => ({
        ...declaration,
        servers: declaration.servers.map(other => ({ ...other, isDraining: other.name === server })),
    }));
}
