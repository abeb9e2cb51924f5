import { SystemClock } from "@arbutusdoor/common";
import { runProgram } from "./common/runProgram.js";
import { ObjectStandIn } from "./objectStore/objectStandIn.js";

const DEFAULT_JOURNAL_LIMIT = 100_000;
const DEFAULT_OBJECT_LIMIT = 10_000;

await runProgram({
    name: "objectStore",
    addOptions: cli => {
        cli.option("--journal-limit <entries>", "entries kept", { default: DEFAULT_JOURNAL_LIMIT });
        cli.option("--object-limit <objects>", "objects kept", { default: DEFAULT_OBJECT_LIMIT });
    },
    create: (flags, place) => {
        const journalLimit = Number(flags.journalLimit);
        const objectLimit = Number(flags.objectLimit);
        return new ObjectStandIn({ clock: new SystemClock(), journalLimit, objectLimit }, place);
    },
    stop: standIn => standIn.stop(),
});
