import { Service } from "../kernel/service.js";
import type { Peers } from "./peers.js";

/** The links to the other entry hosts. */
export const PEERS = new Service<Peers>("peers");
