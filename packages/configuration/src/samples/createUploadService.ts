import { requestClass } from "../library/requestClass.js";
import { service } from "../library/service.js";

const UPLOAD_DEADLINE_MS = 120_000;
const UPLOAD_PRIORITY = 60;
const READ_PRIORITY = 30;

/** Limits in which the upload services of the samples differ. */
type UploadLimits = {
    readonly bodyLimitBytes: number;
    readonly progressTimeoutMs: number;
    readonly readDeadlineMs: number;
};

/** Sample: a pooled service of long uploads and of reads of what was uploaded. */
export function createUploadService(name: string, limits: UploadLimits): ReturnType<typeof service> {
    const { bodyLimitBytes, progressTimeoutMs, readDeadlineMs } = limits;
    const upload = requestClass("upload", {
        methods: ["PUT"],
        isIdempotent: true,
        deadlineMs: UPLOAD_DEADLINE_MS,
        priority: UPLOAD_PRIORITY,
        bodyLimitBytes,
        progressTimeoutMs,
    });
    const reading = requestClass("read", {
        methods: ["GET", "HEAD"],
        isIdempotent: true,
        deadlineMs: readDeadlineMs,
        priority: READ_PRIORITY,
    });
    return service(name, { kind: "pooled", classes: [upload, reading] });
}
