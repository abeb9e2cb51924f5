/** First element of each message on the wire. */
export const MESSAGE_CODES = {
    heartbeat: 0,
    control: 1,
    request: 2,
    answer: 3,
    refusal: 4,
    data: 5,
    end: 6,
    broken: 7,
    credit: 8,
    cancel: 9,
    unwanted: 10,
    ask: 11,
    verdict: 12,
} as const;
