import { spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync, readFileSync, rmSync } from "node:fs";

/** Runs the tests and judges their result: only tests that KNOWN-RED.txt lists may fail, and these are printed. */
const RESULTS = "target/tests.json";
const LIST = "KNOWN-RED.txt";
const ENTRY = /^test: (.+)$/gm;

type Results = {
    readonly testResults: readonly {
        readonly name: string;
        readonly message: string;
        readonly assertionResults: readonly { readonly fullName: string; readonly status: string; }[];
    }[];
};

function readKnown(): ReadonlySet<string> {
    const text = existsSync(LIST) ? readFileSync(LIST, "utf8") : "";
    return new Set([...text.matchAll(ENTRY)].map(([, name]) => name!.trim()));
}

/** Names of the tests that failed; a file that could not be run counts under its own name. */
function listFailed(results: Results): readonly string[] {
    return results.testResults.flatMap(({ assertionResults, message, name }) => {
        const failed = assertionResults.filter(({ status }) => status === "failed").map(({ fullName }) =>
            fullName
        );
        const isBroken = failed.length === 0 && message !== "";
        return isBroken ? [name] : failed;
    });
}

async function run(): Promise<number> {
    rmSync(RESULTS, { force: true });
    const words = ["vitest", "run", "--reporter=default", "--reporter=json", `--outputFile.json=${RESULTS}`];
    const child = spawn("npx", [...words, ...process.argv.slice(2)], { stdio: "inherit" });
    const [code] = await once(child, "exit") as [number | undefined];
    if (code === 0) {
        return 0;
    }
    if (!existsSync(RESULTS)) {
        return 1;
    }
    const failed = listFailed(JSON.parse(readFileSync(RESULTS, "utf8")) as Results);
    const known = readKnown();
    const unknown = failed.filter(name => !known.has(name.trim()));
    for (const name of failed) {
        process.stdout.write(`${known.has(name.trim()) ? "known red" : "failed"}: ${name}\n`);
    }
    return failed.length > 0 && unknown.length === 0 ? 0 : 1;
}

process.exitCode = await run();
