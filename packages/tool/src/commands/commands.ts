import { Registry } from "@arbutusdoor/common";
import type { Command } from "./command.js";

/** All commands of the tool. */
export const commands = new Registry<Command>();
