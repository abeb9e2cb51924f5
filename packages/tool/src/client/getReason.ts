import { ProblemBody } from "./problemBody.js";

const UNAUTHORIZED_STATUS = 401;

/** Describes why a host refused a call. */
export function getReason(status: number, json: unknown): string {
    if (status === UNAUTHORIZED_STATUS) {
        return "the token is not the one that the host expects; check ARBUTUSDOOR_TOKEN";
    }
    const problem = ProblemBody.safeParse(json);
    if (!problem.success) {
        return `it answered with status ${status}`;
    }
    const { title, detail } = problem.data;
    return detail ? `${title}: ${detail}` : title;
}
