import { Service } from "../kernel/service.js";
import type { LoadBook } from "./loadBook.js";

/** Load of keyed services as this host knows it. */
export const LOAD_BOOK = new Service<LoadBook>("loadBook");
