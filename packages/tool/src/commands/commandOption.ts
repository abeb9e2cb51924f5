/** A flag of a command, for the parser and the help. */
export type CommandOption = {
    /** Name with its value, such as `--base <version>`. */
    readonly flag: string;
    readonly description: string;
};
