import type { Move, MovePlanInput } from "@arbutusdoor/policy";

/** The baseline: always the heaviest slice of the most loaded server to the least loaded one, whatever it costs. */
export function planGreedily({ assignment, loads, servers }: MovePlanInput): Move[] {
    const loadOf = new Map(loads.slices.map(({ slice, load }) => [slice, load]));
    const getLoad = (slice: typeof assignment[number]["slice"]): number => loadOf.get(slice) ?? 0;
    const byLoad = servers.map(({ server }) => ({
        server,
        load: assignment.filter(placed => placed.server === server).reduce(
            (sum, { slice }) => sum + getLoad(slice),
            0,
        ),
    })).sort((a, b) => b.load - a.load);
    const from = byLoad[0]!.server;
    const to = byLoad.at(-1)!.server;
    const heaviest =
        assignment.filter(({ server }) => server === from).sort((a, b) =>
            getLoad(b.slice) - getLoad(a.slice)
        )[0];
    return heaviest && from !== to
        ? [{ kind: "move", slice: heaviest.slice, from, to, reason: "balance" }]
        : [];
}
