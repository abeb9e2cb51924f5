import type { TableFollower } from "../store/tableFollower.js";

/** Starts or stops following a table. */
export function setRunning(follower: TableFollower<never>, isRunning: boolean): void {
    if (isRunning) {
        follower.start();
    }
    else {
        follower.stop();
    }
}
