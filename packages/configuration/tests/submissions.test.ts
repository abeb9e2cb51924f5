import type { OperationId } from "@arbutusdoor/common";
import {
    CONFIGURATION_KEYS,
    type ConfigurationManager,
    type SubmitOutcome,
} from "@arbutusdoor/configuration";
import fc from "fast-check";
import { expect, test } from "vitest";
import { ConfigurationSimulation } from "./configurationSimulation.js";
import { createTestDeclaration } from "./createTestDeclaration.js";

const RUNS = 150;
const HOSTS = 3;

const fault = fc.constantFrom(undefined, undefined, "down", "lostBefore", "lostAfter", "late");

const scenario = fc.record({
    seed: fc.nat(),
    faults: fc.array(fault, { maxLength: 25 }),
    outages: fc.array(fc.record({ at: fc.nat(3_000), length: fc.nat(1_500) }), { maxLength: 2 }),
    operations: fc.array(
        fc.record({
            at: fc.nat(3_000),
            host: fc.nat(HOSTS - 1),
            repeatHost: fc.option(fc.nat(HOSTS - 1), { nil: undefined }),
            lag: fc.nat(2),
        }),
        { minLength: 1, maxLength: 8 },
    ),
});

type Answer = { readonly operation: string; readonly base: number; readonly outcome: SubmitOutcome; };

test("with any faults and concurrent submissions, every outcome of a submission is accurate", async () => {
    await fc.assert(
        fc.asyncProperty(scenario, async ({ seed, faults, outages, operations }) => {
            const simulation = new ConfigurationSimulation(seed);
            simulation.table.writeFaults = [...faults];
            const managers = Array.from(
                { length: HOSTS },
                (_, host) => simulation.createManager(`host-${host}`),
            );
            const adopted = managers.map(watchAdoptions);
            for (const { at, length } of outages) {
                simulation.clock.schedule(at, () => simulation.table.isDown = true);
                simulation.clock.schedule(at + length, () => simulation.table.isDown = false);
            }
            const answers: Promise<Answer>[] = [];
            for (const [index, { at, host, repeatHost, lag }] of operations.entries()) {
                simulation.clock.schedule(at, () => {
                    const base = Math.max(0, Math.max(...managers.map(getVersion)) - lag);
                    for (const where of new Set([host, repeatHost ?? host])) {
                        answers.push(submit(managers[where]!, base, index));
                    }
                });
            }
            await simulation.advance(3_000);
            const ended = await simulation.settle(Promise.all(answers));
            simulation.table.applyLate();
            checkAnswers(simulation, ended);
            for (const versions of adopted) {
                expect(versions).toEqual([...new Set(versions)].sort((left, right) => left - right));
            }
        }),
        { numRuns: RUNS, seed: 20_261 },
    );
});

async function submit(manager: ConfigurationManager, base: number, index: number): Promise<Answer> {
    const operation = `operation-${index}`;
    const outcome = await manager.submit(base, createTestDeclaration(1 + index), operation as OperationId);
    return { operation, base, outcome };
}

function checkAnswers(simulation: ConfigurationSimulation, answers: readonly Answer[]): void {
    const heads = simulation.table.journal.map(({ operationId, writes }) => {
        const head = writes.find(({ key }) => key === CONFIGURATION_KEYS.head)?.value as { version: number; };
        return { operation: operationId as string, version: head.version };
    });
    expect(heads.map(({ version }) => version)).toEqual(heads.map((_, index) => index + 1));
    expect(new Set(heads.map(({ operation }) => operation)).size).toBe(heads.length);
    for (const { operation, base, outcome } of answers) {
        const written = heads.find(head => head.operation === operation);
        const calls = answers.filter(answer => answer.operation === operation);
        if (outcome.kind === "accepted") {
            expect(written?.version).toBe(outcome.version);
        }
        if (outcome.kind === "conflict" && outcome.currentVersion > base) {
            expect(written).toBeUndefined();
        }
        if (outcome.kind === "notRun" && calls.length === 1) {
            expect(written).toBeUndefined();
        }
    }
}

function watchAdoptions(manager: ConfigurationManager): number[] {
    const versions: number[] = [];
    manager.onAdopted(({ version }) => versions.push(version));
    return versions;
}

function getVersion(manager: ConfigurationManager): number {
    return manager.current()?.version ?? 0;
}
