import { Registry } from "@arbutusdoor/common";
import type { OperatorAction } from "./operatorAction.js";

/** All calls of the operators' port that are answered once, in contrast to the watch stream. */
export const operatorActions = new Registry<OperatorAction>();
