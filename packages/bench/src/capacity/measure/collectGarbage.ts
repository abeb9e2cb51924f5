import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");
const collect = runInNewContext("gc") as () => void;

/** Frees all memory that nothing refers to any more. */
export function collectGarbage(): void {
    collect();
    collect();
}
