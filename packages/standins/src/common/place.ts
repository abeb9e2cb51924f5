/** Where a stand-in listens. */
export type Place = {
    /** IP number. */
    readonly host: string;
    /** 0 takes a free port. */
    readonly port: number;
    /** Port of the control interface; 0 takes a free one. */
    readonly controlPort: number;
};
