import { type RandomSource, Registry } from "@arbutusdoor/common";
import type { PoolPicker } from "./poolPicker.js";
import type { PoolPickerSettings } from "./poolPickerSettings.js";

type PickerFactory = {
    readonly name: string;
    readonly make: (settings: PoolPickerSettings, random: RandomSource) => PoolPicker;
};

/** The pickers that can be chosen by name in the settings; each registers itself when its module is loaded. */
export const POOL_PICKERS = new Registry<PickerFactory>();
