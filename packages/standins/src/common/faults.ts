import * as z from "zod";

/** Failures that a stand-in brings about on demand; each posted object replaces the one before. */
const Faults = z.strictObject({
    /** `refused` closes the port; `unavailable` answers 503 to everything. */
    down: z.enum(["no", "refused", "unavailable"]).default("no"),
    /** Time in ms that each request waits before it is taken up. */
    slowMs: z.int().min(0).max(600_000).default(0),
    /** Requests whose effect takes place while their answer is lost with the connection. */
    answerLostAfterCommit: z.int().min(0).default(0),
    /** Orders for keys, and writes of rows, that take effect `lateMs` later, while their answers are lost. */
    lateEffects: z.int().min(0).default(0),
    lateMs: z.int().min(0).max(60_000).default(2_000),
    /**
     * A promise that the server breaks on purpose, to show that the observer notices: it runs each request twice, says of one that ran that
     * it did not, answers with another request's answer, goes on holding keys that it has released, or records that it has said that it
     * leaves or wants no requests when it has not.
     */
    lie: z.enum(["no", "runsTwice", "hidesRuns", "swapsAnswers", "ignoresReleases", "hidesNotices"]).default(
        "no",
    ),
    /** Accepts connections and answers nothing; on waking it takes up what was buffered. */
    isFrozen: z.boolean().default(false),
    /** Whether the server's own clock stands still while it is frozen. */
    stopsClock: z.boolean().default(false),
    /** Time in ms by which the host list lags behind what was written to it. */
    staleMs: z.int().min(0).max(600_000).default(0),
    /** Whether the load figures are those of an idle server. */
    liesAboutLoad: z.boolean().default(false),
    /** Time in ms from now during which the server works slowly. */
    coldStartMs: z.int().min(0).max(600_000).default(0),
    /** Every so many answers, refusals and answers to orders among them, one is sent a second time, late; 0: none. */
    secondAnswersEvery: z.int().min(0).default(0),
    /** Whether the server has no room for any request. */
    isFull: z.boolean().default(false),
    /** Share of requests that are refused as not run. */
    sheddingRate: z.number().min(0).max(1).default(0),
    /** Whether the server says that it is leaving. */
    isLeaving: z.boolean().default(false),
    /** Whether the server does not reach the store, so that its entry lapses. */
    isUnregistered: z.boolean().default(false),
    /** Time in ms from now during which the server refuses requests and says when it wants them again. */
    pauseMs: z.int().min(0).max(600_000).default(0),
});

type Faults = z.infer<typeof Faults>;

export { Faults };
