import type { TableTransaction } from "@arbutusdoor/clients";
import { disrupt } from "./simulation/disrupt.js";
import { drain } from "./simulation/drain.js";
import { SETUPS } from "./simulation/setups.js";
import { testSimulation } from "./simulation/testSimulation.js";

const { oneCentre } = SETUPS;
const OUTAGE_MS = 120_000;

type SliceValue = { readonly former: readonly unknown[]; };

/** Whether a transaction writes slices of which some are, or none is, moving. */
function isWriteOfSlices(transaction: TableTransaction, isMoving: boolean): boolean {
    const slices = transaction.writes
        .filter(write => write.key.startsWith("assignment/"))
        .flatMap(write => (write.value as { slices: readonly SliceValue[]; }).slices);
    return slices.length > 0 && slices.some(slice => slice.former.length > 0) === isMoving;
}

for (const [name, isMoving] of [["Moving", true], ["Held", false]] as const) {
    testSimulation(
        `answerLost${name}`,
        `Answer of the table lost after the commit of ${name.toLowerCase()}`,
        oneCentre,
        simulation => {
            let lost = 0;
            simulation.table.losesAnswer = transaction =>
                isWriteOfSlices(transaction, isMoving) && lost++ === 0;
            disrupt(simulation, "b1 is drained; one answer is lost", () => drain(simulation, "b1"));
            simulation.note(`answers lost: ${lost}`);
        },
    );
}

testSimulation(
    "answerLostTakeover",
    "Answer of the table lost after the commit of a takeover",
    oneCentre,
    simulation => {
        let lost = 0;
        const isTakeover = ({ writes }: TableTransaction) =>
            writes.some(write => write.key.startsWith("server/"));
        simulation.table.losesAnswer = transaction => isTakeover(transaction) && lost++ === 0;
        disrupt(simulation, "b1 is killed; one answer is lost", () => simulation.server("b1").kill());
        simulation.note(`answers lost: ${lost}`);
    },
);

testSimulation(
    "takeoverCommitsLate",
    "Takeover that commits after the server has answered again",
    oneCentre,
    simulation => {
        let held = 0;
        const isTakeover = ({ writes }: TableTransaction) =>
            writes.some(write => write.key.startsWith("server/"));
        simulation.table.holdsBack = transaction => isTakeover(transaction) && held++ === 0 ? 600 : 0;
        disrupt(
            simulation,
            "b1 freezes; its takeover is held back",
            () => simulation.server("b1").freeze(false),
            605,
        );
        simulation.note("b1 wakes");
        simulation.server("b1").thaw();
        simulation.run(3000);
    },
);

testSimulation(
    "storeOut",
    "Table service out for minutes, with a host killed and one started in the middle",
    oneCentre,
    simulation => {
        simulation.note("the table service is out");
        simulation.table.isDown = true;
        simulation.run(OUTAGE_MS / 3);
        disrupt(simulation, "e1 is killed", () => simulation.host("e1").kill(), OUTAGE_MS / 3);
        disrupt(simulation, "e1 is started again", () => simulation.restartHost("e1"), OUTAGE_MS / 3);
        simulation.note(
            `e1 routes by ${Object.keys(simulation.host("e1").state.assignments).length} assignment rows`,
        );
        disrupt(simulation, "the table service is back", () => {
            simulation.table.isDown = false;
        });
    },
);

testSimulation("storeOutServerLost", "Server lost while the table service is out", oneCentre, simulation => {
    simulation.note("the table service is out");
    simulation.table.isDown = true;
    simulation.run(1000);
    disrupt(simulation, "b1 is killed", () => simulation.server("b1").kill(), 3000);
    disrupt(simulation, "the table service is back", () => {
        simulation.table.isDown = false;
    });
});

testSimulation(
    "storeOutServerFreezes",
    "Server that freezes and wakes while the table service is out",
    oneCentre,
    simulation => {
        simulation.note("the table service is out");
        simulation.table.isDown = true;
        simulation.run(1000);
        disrupt(simulation, "b1 freezes", () => simulation.server("b1").freeze(false), 2000);
        disrupt(simulation, "b1 wakes", () => simulation.server("b1").thaw(), 3000);
        disrupt(simulation, "the table service is back", () => {
            simulation.table.isDown = false;
        });
    },
);
