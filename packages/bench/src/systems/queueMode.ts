/** What stands before a server: the project's queue, or a plain first-come first-served line without a bound. */
export type QueueMode = "admission" | "plain";
