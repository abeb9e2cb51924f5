import type { TableTransaction } from "@arbutusdoor/clients";
import { disrupt } from "./session/disrupt.js";
import { drain } from "./session/drain.js";
import { SETUPS } from "./session/setups.js";
import { testSimulation } from "./session/testSimulation.js";

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
        session => {
            let lost = 0;
            session.table.losesAnswer = transaction => isWriteOfSlices(transaction, isMoving) && lost++ === 0;
            disrupt(session, "b1 is drained; one answer is lost", () => drain(session, "b1"));
            session.note(`answers lost: ${lost}`);
        },
    );
}

testSimulation(
    "answerLostTakeover",
    "Answer of the table lost after the commit of a takeover",
    oneCentre,
    session => {
        let lost = 0;
        const isTakeover = ({ writes }: TableTransaction) =>
            writes.some(write => write.key.startsWith("server/"));
        session.table.losesAnswer = transaction => isTakeover(transaction) && lost++ === 0;
        disrupt(session, "b1 is killed; one answer is lost", () => session.server("b1").kill());
        session.note(`answers lost: ${lost}`);
    },
);

testSimulation(
    "takeoverCommitsLate",
    "Takeover that commits after the server has answered again",
    oneCentre,
    session => {
        let held = 0;
        const isTakeover = ({ writes }: TableTransaction) =>
            writes.some(write => write.key.startsWith("server/"));
        session.table.holdsBack = transaction => isTakeover(transaction) && held++ === 0 ? 600 : 0;
        disrupt(
            session,
            "b1 freezes; its takeover is held back",
            () => session.server("b1").freeze(false),
            605,
        );
        session.note("b1 wakes");
        session.server("b1").thaw();
        session.run(3000);
    },
);

testSimulation(
    "storeOut",
    "Table service out for minutes, with a host killed and one started in the middle",
    oneCentre,
    session => {
        session.note("the table service is out");
        session.table.isDown = true;
        session.run(OUTAGE_MS / 3);
        disrupt(session, "e1 is killed", () => session.host("e1").kill(), OUTAGE_MS / 3);
        disrupt(session, "e1 is started again", () => session.restartHost("e1"), OUTAGE_MS / 3);
        session.note(
            `e1 routes by ${Object.keys(session.host("e1").state.assignments).length} assignment rows`,
        );
        disrupt(session, "the table service is back", () => {
            session.table.isDown = false;
        });
    },
);

testSimulation("storeOutServerLost", "Server lost while the table service is out", oneCentre, session => {
    session.note("the table service is out");
    session.table.isDown = true;
    session.run(1000);
    disrupt(session, "b1 is killed", () => session.server("b1").kill(), 3000);
    disrupt(session, "the table service is back", () => {
        session.table.isDown = false;
    });
});

testSimulation(
    "storeOutServerFreezes",
    "Server that freezes and wakes while the table service is out",
    oneCentre,
    session => {
        session.note("the table service is out");
        session.table.isDown = true;
        session.run(1000);
        disrupt(session, "b1 freezes", () => session.server("b1").freeze(false), 2000);
        disrupt(session, "b1 wakes", () => session.server("b1").thaw(), 3000);
        disrupt(session, "the table service is back", () => {
            session.table.isDown = false;
        });
    },
);
