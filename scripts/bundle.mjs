// Bundles the platform's program into few files, with a code cache: loading and compiling files one by one takes most of the start-up time.
import { execFileSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { createBundle } from "./bundle/createBundle.mjs";

const FOLDER = "target";
const RECORDER = fileURLToPath(new URL("bundle/recordCodeCache.mjs", import.meta.url));

await createBundle(FOLDER);
execFileSync(process.execPath, [RECORDER, `${FOLDER}/program.cjs`, `${FOLDER}/program.cache`, "--help"]);
