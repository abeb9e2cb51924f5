/** A flag of one command. */
export type CommandOption = {
    /** Such as `--base <version>`. */
    readonly flag: string;
    readonly description: string;
};
