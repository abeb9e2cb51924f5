// The parts of the library that the program uses, in place of the library's index: that one loads all of its modules.
export { default as buildConnector } from "undici/lib/core/connect.js";
export { default as Client } from "undici/lib/dispatcher/client.js";
export { default as Pool } from "undici/lib/dispatcher/pool.js";
