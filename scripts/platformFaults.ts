import type { PlatformRun } from "./platformRun.js";
import type { SoakKinds } from "./soakKinds.js";
import { stopGracefully } from "./stopGracefully.js";
import { stopUnderCallers } from "./stopUnderCallers.js";

/** Brings a fault about at a target, and ends it after a time in ms. */
type Fault = (run: PlatformRun, target: string, lengthMs: number) => Promise<void>;

/** A grant of keys lasts 9 s; a longer pause shows whether a holder stops at the end of its lease. */
const PAUSE_MS = 11_000;
const SHORT_MS = 2_000;
const OUTAGE_MS = 5_000;
const SLOW_MS = 300;
const LATE_MS = 3_000;
/** Mostly longer than the drain time, so that requests beyond it would be seen. */
const ANNOUNCED_MS = 8_000;
const LOST_ANSWERS = 10;
const LATE_WRITES = 3;
/** A fifth of the answers: far more than any server sends twice, so that a short soak meets each place. */
const REPEATED_EVERY = 5;
const FULL_MS = 4_000;
/** Short enough that some repeats of a refused request find room. */
const FULL_TURN_MS = 90;
const LONG_READS = 12;
/** Far longer than a pool's usual work, and well within the grace time. */
const LONG_READ_MS = 1_200;
const LONG_WORK_MS = 1_500;
/** Time between the copy of a restored store and the outage, at least. */
const COPY_MS = 500;

const SERVER_FAULTS: Readonly<Record<string, readonly [longestMs: number, fault: Fault]>> = {
    serverKilled: [SHORT_MS, async (run, name, lengthMs) => {
        await run.records.kill(name, run.system.servers.get(name)!);
        await run.clock.sleep(lengthMs);
        await run.system.restartServer(name);
    }],
    serverDrained: [SHORT_MS, async (run, name, lengthMs) => {
        await run.records.stop(name, run.system.servers.get(name)!);
        await run.clock.sleep(lengthMs);
        await run.system.restartServer(name);
    }],
    serverPaused: [
        PAUSE_MS,
        (run, name, lengthMs) => pause(run, run.system.servers.get(name)!.program, lengthMs),
    ],
    serverOrdersLate: [OUTAGE_MS, async (run, name, lengthMs) => {
        await run.system.setServerFaults(name, { lateEffects: LOST_ANSWERS, lateMs: LATE_MS });
        await run.clock.sleep(lengthMs);
        await run.system.setServerFaults(name, {});
    }],
    serverAnswersLost: [OUTAGE_MS, async (run, name, lengthMs) => {
        await run.system.setServerFaults(name, { answerLostAfterCommit: LOST_ANSWERS });
        await run.clock.sleep(lengthMs);
        await run.system.setServerFaults(name, {});
    }],
    serverDelayed: [
        OUTAGE_MS,
        (run, name, lengthMs) => disturb(run, run.system.servers.get(name)!.proxy, "delay", lengthMs),
    ],
    serverReset: [
        SHORT_MS,
        (run, name, lengthMs) => disturb(run, run.system.servers.get(name)!.proxy, "reset", lengthMs),
    ],
    serverSilent: [
        PAUSE_MS,
        (run, name, lengthMs) => disturb(run, run.system.servers.get(name)!.proxy, "silent", lengthMs),
    ],
    serverCutOneWay: [
        OUTAGE_MS,
        (run, name, lengthMs) => disturb(run, run.system.servers.get(name)!.proxy, "loseAnswers", lengthMs),
    ],
};

/** Servers that say in their answers that they leave, or want no requests for a time. */
const NOTICE_FAULTS: Readonly<Record<string, readonly [longestMs: number, fault: Fault]>> = {
    serverPauses: [OUTAGE_MS, async (run, name, lengthMs) => {
        await run.system.setServerFaults(name, { pauseMs: lengthMs });
        await run.clock.sleep(lengthMs);
        await run.system.setServerFaults(name, {});
    }],
    serverAnnounced: [ANNOUNCED_MS, async (run, name, lengthMs) => {
        await run.system.setServerFaults(name, { isLeaving: true });
        await run.clock.sleep(lengthMs);
        await run.records.kill(name, run.system.servers.get(name)!);
        await run.system.restartServer(name);
    }],
};

/** Cuts off a single server from all others, so that it looks like one that has ended. */
const SERVER_DISRUPTIONS: Readonly<Record<string, readonly [longestMs: number, fault: Fault]>> = {
    serverIsolated: [PAUSE_MS, async (run, name, lengthMs) => {
        const { proxy } = run.system.servers.get(name)!;
        await run.system.setServerFaults(name, { isUnregistered: true });
        await proxy.refuse();
        await run.clock.sleep(lengthMs);
        await proxy.accept();
        await run.system.setServerFaults(name, {});
    }],
};

/** Servers that send answers a second time, at any point, or that are full. */
const ANSWER_FAULTS: Readonly<Record<string, readonly [longestMs: number, fault: Fault]>> = {
    serverRepeatsAnswers: [OUTAGE_MS, async (run, name, lengthMs) => {
        await run.system.setServerFaults(name, { secondAnswersEvery: REPEATED_EVERY });
        await run.clock.sleep(lengthMs);
        await run.system.setServerFaults(name, {});
    }],
    serverFullRepeatsAnswers: [FULL_MS, async (run, name, lengthMs) => {
        for (const until = run.clock.now() + lengthMs; run.clock.now() < until;) {
            for (const isFull of [true, false]) {
                await run.system.setServerFaults(name, { secondAnswersEvery: REPEATED_EVERY, isFull });
                await run.clock.sleep(FULL_TURN_MS);
            }
        }
        await run.system.setServerFaults(name, {});
    }],
};

/** A server that leaves while its ranges are at work, and answers each release twice. */
const LEAVING_FAULTS: Readonly<Record<string, readonly [longestMs: number, fault: Fault]>> = {
    serverLeavesAndRepeatsAnswers: [SHORT_MS, async (run, name, lengthMs) => {
        await run.system.setServerFaults(name, { secondAnswersEvery: 1 });
        const reads = run.sendKeyedReads(name.replace(/-\d+$/, ""), OUTAGE_MS, LONG_WORK_MS);
        await run.clock.sleep(LONG_WORK_MS);
        await run.records.stop(name, run.system.servers.get(name)!);
        await reads;
        await run.clock.sleep(lengthMs);
        await run.system.restartServer(name);
    }],
};

const CALLER_FAULTS: Readonly<Record<string, readonly [longestMs: number, fault: Fault]>> = {
    callersBeginHeads: [SHORT_MS, async (run, name) => {
        await run.sendWithUnfinishedHeads(name, LONG_READS, run.headerTimeoutMs + LONG_READ_MS);
    }],
};

const HOST_DISRUPTIONS: Readonly<Record<string, readonly [longestMs: number, fault: Fault]>> = {
    hostStoppedAtWork: [SHORT_MS, async (run, name, lengthMs) => {
        const reads = run.sendLongReads(name, LONG_READS, LONG_READ_MS);
        await run.clock.sleep(LONG_READ_MS / 2);
        await stopGracefully(run, name);
        const lost = (await reads).filter(({ outcome }) => outcome !== "answered" && outcome !== "notRun");
        await run.clock.sleep(lengthMs);
        await run.system.restartHost(name);
        if (lost.length > 0) {
            const seen = lost.map(({ reason, status }) => reason ?? status).join(" ");
            throw new Error(
                `${name} cut off ${lost.length} of ${LONG_READS} requests in its shutdown: ${seen}`,
            );
        }
    }],
};

/** Stops of a host while callers use it in many ways. Its other faults are left out, so that nothing else excuses a lost request. */
const HOST_STOPS: Readonly<Record<string, readonly [longestMs: number, fault: Fault]>> = {
    hostStoppedUnderCallers: [SHORT_MS, stopUnderCallers],
};

const STORE_DISRUPTIONS: Readonly<Record<string, readonly [longestMs: number, fault: Fault]>> = {
    foreignEntries: [OUTAGE_MS, async (run, _, lengthMs) => {
        await run.system.addForeignEntries();
        await run.clock.sleep(lengthMs);
        await run.system.removeForeignEntries();
    }],
};

/** Outages after which the store has lost what it acknowledged some seconds before; versions are given out again. */
const STORE_RESTORES: Readonly<Record<string, readonly [longestMs: number, fault: Fault]>> = {
    storeRestored: [SHORT_MS, async (run, _, lengthMs) => {
        await run.system.setStoreFaults({ down: "refused" });
        await run.clock.sleep(lengthMs);
        // The copy is from before the outage, and all the older the longer that was.
        await run.system.restoreStore(lengthMs * 2 + COPY_MS);
        await run.system.setStoreFaults({});
    }],
};

const HOST_FAULTS: Readonly<Record<string, readonly [longestMs: number, fault: Fault]>> = {
    hostKilled: [SHORT_MS, async (run, name, lengthMs) => {
        await run.system.hosts.get(name)!.program.kill();
        await run.clock.sleep(lengthMs);
        await run.system.restartHost(name);
    }],
    hostStopped: [SHORT_MS, async (run, name, lengthMs) => {
        await stopGracefully(run, name);
        await run.clock.sleep(lengthMs);
        await run.system.restartHost(name);
    }],
    hostPaused: [
        PAUSE_MS,
        (run, name, lengthMs) => pause(run, run.system.hosts.get(name)!.program, lengthMs),
    ],
    hostReloaded: [SHORT_MS, async (run, name, lengthMs) => {
        run.system.hosts.get(name)!.program.signal("SIGHUP");
        await run.clock.sleep(lengthMs);
    }],
    hostStoreReset: [
        OUTAGE_MS,
        (run, name, lengthMs) => disturb(run, run.system.hosts.get(name)!.store, "reset", lengthMs),
    ],
    hostStoreSilent: [
        PAUSE_MS,
        (run, name, lengthMs) => disturb(run, run.system.hosts.get(name)!.store, "silent", lengthMs),
    ],
    hostStoreCutOneWay: [
        OUTAGE_MS,
        (run, name, lengthMs) => disturb(run, run.system.hosts.get(name)!.store, "loseAnswers", lengthMs),
    ],
};

const STORE_FAULTS: Readonly<Record<string, readonly [longestMs: number, fault: Fault]>> = {
    storeRefused: [OUTAGE_MS, (run, _, lengthMs) => troubleStore(run, { down: "refused" }, lengthMs)],
    storeUnavailable: [PAUSE_MS, (run, _, lengthMs) => troubleStore(run, { down: "unavailable" }, lengthMs)],
    storeSlow: [OUTAGE_MS, (run, _, lengthMs) => troubleStore(run, { slowMs: SLOW_MS }, lengthMs)],
    storeFrozen: [OUTAGE_MS, (run, _, lengthMs) => troubleStore(run, { isFrozen: true }, lengthMs)],
    storeAnswersLost: [
        OUTAGE_MS,
        (run, _, lengthMs) => troubleStore(run, { answerLostAfterCommit: LOST_ANSWERS }, lengthMs),
    ],
    storeWritesLate: [
        OUTAGE_MS,
        (run, _, lengthMs) => troubleStore(run, { lateEffects: LATE_WRITES, lateMs: LATE_MS }, lengthMs),
    ],
    configurationChanged: [SHORT_MS, async (run, _, lengthMs) => {
        await run.system.configure();
        await run.clock.sleep(lengthMs);
    }],
};

const BESIDE_RESTORES = new Set(["storeAnswersLost", "storeWritesLate"]);

const ALL = {
    ...SERVER_FAULTS,
    ...NOTICE_FAULTS,
    ...HOST_FAULTS,
    ...STORE_FAULTS,
    ...SERVER_DISRUPTIONS,
    ...HOST_DISRUPTIONS,
    ...HOST_STOPS,
    ...STORE_DISRUPTIONS,
    ...ANSWER_FAULTS,
    ...LEAVING_FAULTS,
    ...CALLER_FAULTS,
    ...STORE_RESTORES,
};
/** Faults that do not hold up what passes between the hosts and a server. */
const CALM = new Set([
    "hostReloaded",
    ...Object.keys(NOTICE_FAULTS),
    ...Object.keys(STORE_FAULTS),
    ...Object.keys(STORE_DISRUPTIONS),
    ...Object.keys(CALLER_FAULTS),
]);
const STORE = "store";

/** Faults of the network, processes, clocks and storage that a soak of the platform's program brings about, by target. */
export const platformFaults = {
    /**
     * Faults that may come to each target, with the longest time of each in ms.
     *
     * @param kinds further kinds of faults; each changes the plan of every seed
     */
    list(
        run: PlatformRun,
        { hasDisruptions, hasNotices, hasRestores, hasSecondAnswers, hasStops }: SoakKinds,
    ): Readonly<Record<string, Readonly<Record<string, number>>>> {
        const serverFaults = {
            ...SERVER_FAULTS,
            ...hasNotices ? NOTICE_FAULTS : {},
            ...hasDisruptions ? SERVER_DISRUPTIONS : {},
            ...hasSecondAnswers ? { ...ANSWER_FAULTS, ...LEAVING_FAULTS } : {},
        };
        const hostFaults = {
            ...hasStops ? HOST_STOPS : HOST_FAULTS,
            ...hasDisruptions ? HOST_DISRUPTIONS : {},
            ...hasSecondAnswers ? CALLER_FAULTS : {},
        };
        // With few other faults, so that a short soak meets the restored store more than once.
        const restoreFaults = {
            ...STORE_RESTORES,
            ...Object.fromEntries(
                Object.entries(STORE_FAULTS).filter(([fault]) => BESIDE_RESTORES.has(fault)),
            ),
        };
        const storeFaults = {
            ...hasRestores ? restoreFaults : STORE_FAULTS,
            ...hasDisruptions ? STORE_DISRUPTIONS : {},
        };
        const servers = [...run.system.servers.keys()].filter(name => !run.isSpared(name));
        const each = (names: Iterable<string>, faults: typeof SERVER_FAULTS) =>
            [...names].map(
                name => [
                    name,
                    Object.fromEntries(Object.entries(faults).map(([fault, [ms]]) => [fault, ms])),
                ],
            );
        return Object.fromEntries([
            ...each(servers, serverFaults),
            ...each(run.system.hosts.keys(), hostFaults),
            ...each([STORE], storeFaults),
        ]) as Record<string, Record<string, number>>;
    },

    /** Brings a fault about; resolves once it is over. Rejects when the target does not come back, or stops badly. */
    async play(run: PlatformRun, fault: string, target: string, lengthMs: number): Promise<void> {
        const play = () =>
            (ALL as Record<string, readonly [number, Fault]>)[fault]![1](run, target, lengthMs);
        await (CALM.has(fault) ? play() : run.recordDisruption(target, play));
    },
};

async function pause(
    run: PlatformRun,
    program: { signal(name: NodeJS.Signals): void; },
    lengthMs: number,
): Promise<void> {
    program.signal("SIGSTOP");
    await run.clock.sleep(lengthMs);
    program.signal("SIGCONT");
}

async function disturb(
    run: PlatformRun,
    proxy: { setMode(mode: "pass" | "delay" | "reset" | "silent" | "loseAnswers", delayMs?: number): void; },
    mode: "delay" | "reset" | "silent" | "loseAnswers",
    lengthMs: number,
): Promise<void> {
    proxy.setMode(mode, SLOW_MS);
    await run.clock.sleep(lengthMs);
    proxy.setMode("pass");
}

async function troubleStore(run: PlatformRun, faults: object, lengthMs: number): Promise<void> {
    await run.system.setStoreFaults(faults);
    await run.clock.sleep(lengthMs);
    await run.system.setStoreFaults({});
}
