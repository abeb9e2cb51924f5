import { expect, test } from "vitest";
import type { Cast } from "./cast.js";
import { getEvidence } from "./getEvidence.js";
import { observe } from "./observe.js";
import { printSession } from "./printSession.js";
import { Session } from "./session.js";
import { startSession } from "./startSession.js";

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
