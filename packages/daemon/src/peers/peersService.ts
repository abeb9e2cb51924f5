import { ServiceToken } from "../kernel/serviceToken.js";
import type { Peers } from "./peers.js";

/** The links to the other entry hosts. */
export const PEERS = new ServiceToken<Peers>("peers");
