import type { StoreTimeScale } from "../../src/ownership/storeTimeScale.js";

/** A store whose clock is that of the hosts. */
export const SAME_CLOCK: StoreTimeScale = {
    toStoreTime: time => time,
    toLocalTime: storeTime => storeTime,
};
