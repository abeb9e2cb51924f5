import { SystemClock } from "@arbutusdoor/common";
import { runProgram } from "./common/runProgram.js";
import { TableStandIn } from "./tableService/tableStandIn.js";

const DEFAULT_JOURNAL_LIMIT = 100_000;
const DEFAULT_ROW_LIMIT = 1_000_000;

await runProgram({
    name: "tableService",
    addOptions: cli => {
        cli.option("--journal-limit <entries>", "entries kept", { default: DEFAULT_JOURNAL_LIMIT });
        cli.option("--row-limit <rows>", "rows kept", { default: DEFAULT_ROW_LIMIT });
    },
    create: (flags, place) => {
        const journalLimit = Number(flags.journalLimit);
        const rowLimit = Number(flags.rowLimit);
        return new TableStandIn({ clock: new SystemClock(), journalLimit, rowLimit }, place);
    },
    stop: standIn => standIn.stop(),
});
