import { Terminal } from "./terminal.js";

/** Standard output for results, standard error for the rest. */
export class ProcessTerminal extends Terminal {
    override print(line: string): void {
        process.stdout.write(line + "\n");
    }

    override printError(line: string): void {
        process.stderr.write(line + "\n");
    }
}
