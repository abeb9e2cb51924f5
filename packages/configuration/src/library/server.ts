import type { z } from "zod";
import { Server } from "../declaration/server.js";
import { parseInput } from "./parseInput.js";

/** Builds a backend server. Fields left out take their defaults. Throws InputError on a wrong field. */
export function server(name: string, fields: Omit<z.input<typeof Server>, "name">): Server {
    return parseInput(Server, { name, ...fields }, `server "${name}"`);
}
