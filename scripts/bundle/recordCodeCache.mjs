// Runs a program and writes a code cache when it ends: the functions that it has called until then need no compilation later.
// Usage: node recordCodeCache.mjs PROGRAM CACHE [flags of the program]
import { writeFileSync } from "node:fs";
import { resolve } from "node:path";
import { loadProgram } from "../../platform/dist/launch/loadProgram.js";

const [path, cachePath] = process.argv.splice(2, 2).map(name => resolve(name));
const program = loadProgram(path);
process.argv[1] = path;
process.on("exit", () => writeFileSync(cachePath, program.createCodeCache()));
program.run();
