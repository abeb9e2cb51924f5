import { readFileSync } from "node:fs";

const PAGE_BYTES = 4_096;

/** Returns the memory that a process has resident, in bytes. */
export function readMemoryBytes(pid: number): number {
    return Number(readFileSync(`/proc/${pid}/statm`, "utf8").split(" ")[1]) * PAGE_BYTES;
}
