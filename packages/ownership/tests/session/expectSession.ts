import { expect, test } from "vitest";
import { observe } from "./observe.js";
import { getEvidence, printSession } from "./printSession.js";
import { type Cast, Session } from "./session.js";

/** A session after its first assignment, 3 s from the start. */
export function startSession(cast: Cast): Session {
    const session = new Session(cast);
    session.run(3000);
    session.note("the session begins");
    return session;
}

/** Plays a session, compares its whole account with the golden file, and demands that no promise was broken. */
export function expectSession(
    name: string,
    title: string,
    cast: Cast,
    play: (session: Session) => void,
): void {
    test(title, async () => {
        const session = startSession(cast);
        play(session);
        session.run(1500);
        await expect(printSession(session, title)).toMatchFileSnapshot(`./golden/${name}.txt`);
        expect(observe(getEvidence(session))).toEqual([]);
        expect(
            session.callers.log.filter(entry =>
                entry.sentAt < session.clock.now() - 1100 && entry.outcome === "waiting"
            ),
        )
            .toEqual([]);
    });
}
