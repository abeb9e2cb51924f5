/** The outer names of a setting. */
export type SettingName = {
    /** For example `--caller-port`. */
    readonly flag: string;
    /** For example `ARBUTUSDOOR_CALLER_PORT`. */
    readonly variable: string;
};
