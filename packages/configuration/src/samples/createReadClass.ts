import { requestClass } from "../library/requestClass.js";

const DEADLINE_MS = 1_000;
const PRIORITY = 20;
const RETRIES = 2;

/** Sample: the class of repeatable reads, which have low priority, so that they are shed first, and two retries. */
export function createReadClass(deadlineMs = DEADLINE_MS): ReturnType<typeof requestClass> {
    return requestClass("read", {
        methods: ["GET", "HEAD"],
        isIdempotent: true,
        deadlineMs,
        priority: PRIORITY,
        retries: RETRIES,
    });
}
