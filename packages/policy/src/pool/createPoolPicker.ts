import { InputError, type RandomSource } from "@arbutusdoor/common";
import "./creditPicker.js";
import "./leastCostOfAllPicker.js";
import "./leastCostPicker.js";
import "./leastReportedPicker.js";
import "./randomPicker.js";
import "./rateCreditPicker.js";
import "./roundRobinPicker.js";
import "./twoChoicesPicker.js";
import "../spill/targetLatencyPicker.js";
import type { PoolPicker } from "./poolPicker.js";
import { POOL_PICKERS } from "./poolPickers.js";
import type { PoolPickerSettings } from "./poolPickerSettings.js";

/** Creates the picker that the settings name. Throws InputError for a name that is not registered. */
export function createPoolPicker(settings: PoolPickerSettings, random: RandomSource): PoolPicker {
    const factory = POOL_PICKERS.get(settings.picker);
    if (!factory) {
        const names = POOL_PICKERS.list().map(({ name }) => name).join(", ");
        throw new InputError(`picker: "${settings.picker}" is not one of ${names}`);
    }
    return factory.make(settings, random);
}
