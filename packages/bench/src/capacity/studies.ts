import { Registry } from "@arbutusdoor/common";
import type { Study } from "./study.js";

/** All studies of capacity. */
export const STUDIES = new Registry<Study>();
