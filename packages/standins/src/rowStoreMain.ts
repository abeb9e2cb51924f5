import { SystemClock } from "@arbutusdoor/common";
import { runProgram } from "./common/runProgram.js";
import { RowStoreStandIn } from "./rowStore/rowStoreStandIn.js";

const JOURNAL_LIMIT = 10_000;

await runProgram({
    name: "rowStore",
    addOptions: () => undefined,
    create: (...[, place]) =>
        new RowStoreStandIn({ clock: new SystemClock(), journalLimit: JOURNAL_LIMIT }, place),
    stop: standIn => standIn.stop(),
});
