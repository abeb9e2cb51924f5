import { readFileSync } from "node:fs";

const TICK_US = 10_000;

/** Returns the processor time that a process has used, in microseconds, from the system's own account of it. */
export function readCpuUs(pid: number): number {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!.split(" ");
    return (Number(fields[11]) + Number(fields[12])) * TICK_US;
}
