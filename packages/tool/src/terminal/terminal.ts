/** Output of the tool. */
export abstract class Terminal {
    /** Prints one line of the result. */
    abstract print(line: string): void;

    /** Prints one line that is not part of the result, such as an error. */
    abstract printError(line: string): void;
}
