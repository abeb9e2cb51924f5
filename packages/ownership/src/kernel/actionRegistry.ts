import { Registry } from "@arbutusdoor/common";
import type { Action } from "./action.js";

/** All actions of the kernel, by kind of input. */
export const actionRegistry = new Registry<Action>();
