/** Ways to write one setting. */
export type SettingName = {
    /** For example `--caller-port`. */
    readonly flag: string;
    /** For example `ARBUTUSDOOR_CALLER_PORT`. */
    readonly variable: string;
};
