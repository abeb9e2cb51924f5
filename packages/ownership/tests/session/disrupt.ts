import type { Simulation } from "./simulation.js";

/** Does something to a session, runs it on, and notes how long it took until all was served again. */
export function disrupt(session: Simulation, text: string, action: () => void, wait = 3000): void {
    session.note(text);
    const since = session.clock.now();
    action();
    session.run(wait);
    session.noteRecovery(since);
}
