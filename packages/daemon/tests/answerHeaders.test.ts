import { expect, test } from "vitest";
import { getAnswerHeaders } from "../src/entry/getAnswerHeaders.js";

test("getAnswerHeaders keeps cookies as separate fields and drops hop-by-hop fields and arbutusdoor's own", () => {
    const headers = {
        "set-cookie": ["a=1; expires=Fri, 04 Dec 2026 06:00:00 GMT", "b=2"],
        "connection": "x-hop",
        "x-hop": "1",
        "arbutusdoor-outcome": "forged",
        "content-type": "text/plain",
    };
    expect(getAnswerHeaders(headers)).toEqual({
        "set-cookie": ["a=1; expires=Fri, 04 Dec 2026 06:00:00 GMT", "b=2"],
        "content-type": "text/plain",
    });
});
