/** Exit codes of the tool; `--help` and the README list them. */
const EXIT_CODES = {
    done: { code: 0, text: "done" },
    refused: { code: 1, text: "refused or invalid; nothing was changed" },
    usage: { code: 2, text: "wrong use of the command" },
    conflict: { code: 3, text: "another version is in force; nothing was changed" },
    unreachable: {
        code: 4,
        text: "a host or the platform could not be reached, or was late; nothing was changed",
    },
    unknown: { code: 5, text: "the outcome is unknown, also after reading back; it may have taken effect" },
} as const;

/** Name of an exit code. */
type ExitName = keyof typeof EXIT_CODES;

export { EXIT_CODES, type ExitName };
