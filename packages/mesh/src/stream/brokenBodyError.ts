import { ArbutusdoorError } from "@arbutusdoor/common";

/** A body that broke off before its end. */
export class BrokenBodyError extends ArbutusdoorError {
    override readonly name = "BrokenBodyError";
}
