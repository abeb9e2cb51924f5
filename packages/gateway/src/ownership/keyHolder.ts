import type { ServerId } from "@arbutusdoor/common";

/** One life of a backend server: its id and the Unix time in ms of its start. */
export type KeyHolder = {
    readonly id: ServerId;
    readonly startedAt: number;
};
