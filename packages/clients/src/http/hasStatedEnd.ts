const NO_CONTENT_STATUS = 204;
const NOT_MODIFIED_STATUS = 304;

type RawHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Whether an answer states where its body ends, so that a truncated answer can be detected. */
export function hasStatedEnd(method: string, status: number, headers: RawHeaders): boolean {
    const hasNoBody = method === "HEAD" || status === NO_CONTENT_STATUS || status === NOT_MODIFIED_STATUS;
    return hasNoBody || headers["content-length"] !== undefined || isChunked(headers["transfer-encoding"]);
}

/** Whether the last coding is chunked. The parser reads a body with any other one, such as `x-chunked`, until the connection ends. */
function isChunked(encoding: string | string[] | undefined): boolean {
    return /(^|,)[ \t]*chunked[ \t]*$/i.test(String(encoding ?? ""));
}
