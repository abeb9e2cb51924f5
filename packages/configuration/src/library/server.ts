import type * as z from "zod";
import { Server } from "../declaration/server.js";
import { parseInput } from "./parseInput.js";

/** Builds a backend server. Omitted fields get their defaults. Throws InputError on an invalid field. */
export function server(name: string, fields: Omit<z.input<typeof Server>, "name">): Server {
    return parseInput(Server, { name, ...fields }, `server "${name}"`);
}
