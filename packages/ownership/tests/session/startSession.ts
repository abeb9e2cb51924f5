import type { Cast } from "./cast.js";
import { Session } from "./session.js";

/** A session after its first assignment, 3 s from the start. */
export function startSession(cast: Cast): Session {
    const session = new Session(cast);
    session.run(3000);
    session.note("the session begins");
    return session;
}
