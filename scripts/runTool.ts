import { ChildProgram } from "./childProgram.js";

const TOOL = new URL("../packages/tool/dist/main.js", import.meta.url).pathname;

/** Runs the command-line tool against operators' ports; resolves with what it printed and its exit code. */
export async function runTool(
    hosts: readonly string[],
    token: string,
    words: readonly string[],
): Promise<{ lines: readonly string[]; exitCode: number | undefined; }> {
    const program = new ChildProgram("arbutusdoor", TOOL, [...words, "--host", hosts.join(",")], {
        ARBUTUSDOOR_TOKEN: token,
    });
    await program.waitForEnd();
    return { lines: program.lines, exitCode: program.exitCode };
}
