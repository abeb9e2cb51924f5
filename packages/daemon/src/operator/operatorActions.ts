import { Registry } from "@arbutusdoor/common";
import type { OperatorAction } from "./operatorAction.js";

/** All calls of the operators' port that answer once. */
export const operatorActions = new Registry<OperatorAction>();
