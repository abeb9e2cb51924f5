import { Route } from "../declaration/route.js";
import { parseInput } from "./parseInput.js";

/** Assigns a key of a keyed service to the server of that name. Throws InputError on an invalid field. */
export function route(key: string, serverName: string): Route {
    return parseInput(Route, { key, server: serverName }, `route "${key}"`);
}
