import { ArbutusdoorError } from "@arbutusdoor/common";

/** A body was truncated before its end. */
export class BrokenBodyError extends ArbutusdoorError {
    override readonly name = "BrokenBodyError";
}
