import type { ServerId } from "@arbutusdoor/common";

/** One incarnation of a backend server: its id and the Unix time in ms of its start. */
export type KeyHolder = {
    readonly id: ServerId;
    readonly startedAt: number;
};
