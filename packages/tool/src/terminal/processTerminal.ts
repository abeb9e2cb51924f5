import { Terminal } from "./terminal.js";

/** Prints results on the standard output and everything else on the standard error. */
export class ProcessTerminal extends Terminal {
    override print(line: string): void {
        process.stdout.write(line + "\n");
    }

    override printError(line: string): void {
        process.stderr.write(line + "\n");
    }
}
