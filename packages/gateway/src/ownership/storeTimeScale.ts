import type { Milliseconds } from "@arbutusdoor/common";

/** Converts between this host's steady clock and the store's, so that neither result is too early. */
export type StoreTimeScale = {
    /** Returns the latest time that the store's clock can show at a time of this host's clock; `undefined` before its first reading. */
    readonly toStoreTime: (time: Milliseconds) => Milliseconds | undefined;
    /** Returns the latest time of this host's clock at which the store's clock can show a time. */
    readonly toLocalTime: (storeTime: Milliseconds) => Milliseconds;
};
