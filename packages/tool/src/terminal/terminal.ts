/** Where the tool writes. */
export abstract class Terminal {
    /** Writes one line of results. */
    abstract print(line: string): void;

    /** Writes one line for the operator that is not a result. */
    abstract printError(line: string): void;
}
