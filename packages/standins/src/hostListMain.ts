import { SystemClock } from "@arbutusdoor/common";
import { runProgram } from "./common/runProgram.js";
import { HostListStandIn } from "./hostList/hostListStandIn.js";

await runProgram({
    name: "hostList",
    addOptions: () => undefined,
    create: (...[, place]) => new HostListStandIn({ clock: new SystemClock() }, place),
    stop: standIn => standIn.stop(),
});
