import { Packr } from "msgpackr";
import type { CoordinatorMessage } from "./coordinatorMessage.js";

/** Writes the field names of objects of one shape only once a message; `unpack` reads this without settings. */
const packer = new Packr({ useRecords: true });

/** Encodes a message of the coordinator. */
export function encodeMessage(message: CoordinatorMessage): Uint8Array {
    return packer.pack(message);
}
