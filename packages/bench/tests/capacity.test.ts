import { expect, test } from "vitest";
import { fitLine } from "../src/capacity/fit/fitLine.js";
import { runStudy } from "../src/capacity/runStudy.js";
import { STUDIES } from "../src/capacity/studies.js";
import "../src/capacity/studies/index.js";

const TINY = { seed: 1, scale: 0.02 };

test("A line and the exponent of its growth are found", () => {
    const square = fitLine([1, 2, 3, 4].map(x => ({ x, y: 5 * x ** 2 })));
    expect(square.exponent).toBeCloseTo(2);
    const line = fitLine([1, 2, 3, 4].map(x => ({ x, y: 7 * x + 3 })));
    expect(line).toMatchObject({
        slope: expect.closeTo(7),
        intercept: expect.closeTo(3),
        determination: expect.closeTo(1),
    });
    expect(fitLine([{ x: 1, y: 4 }, { x: 2, y: 4 }])).toMatchObject({ slope: 0, intercept: 4, exponent: 0 });
});

test("The orders and reports of a grantor grow with its grants alone, and the rows of a loss with the servers lost", async () => {
    const counts = async (study: string, columns: readonly string[]) => {
        const { rows, axis } = await runStudy(STUDIES.get(study)!, TINY);
        return rows.map(row => [axis, ...columns].map(column => `${column} ${row[column]}`).join(", "));
    };
    expect(await counts("grantor-by-grants", ["orders/s", "messages/s"])).toMatchInlineSnapshot(`
      [
        "granted 1, orders/s 5, messages/s 2.4",
        "granted 2, orders/s 10, messages/s 4.8",
        "granted 3, orders/s 15, messages/s 7.2",
        "granted 4, orders/s 20, messages/s 9.6",
      ]
    `);
    expect(await counts("loss-of-servers", ["transactions", "rows written"])).toMatchInlineSnapshot(`
      [
        "lost 1, transactions 9, rows written 12",
        "lost 2, transactions 10, rows written 16",
        "lost 3, transactions 11, rows written 20",
        "lost 4, transactions 12, rows written 24",
      ]
    `);
});

test.each(["rows-and-look-ups", "configuration-by-servers", "balance-by-servers", "decider-by-servers"])(
    "Study %s measures something in every column at a tiny size",
    async name => {
        const { rows, fits } = await runStudy(STUDIES.get(name)!, TINY);
        expect(rows.length).toBeGreaterThanOrEqual(4);
        expect(fits.flatMap(({ fit }) => Object.values(fit)).every(Number.isFinite)).toBe(true);
        expect(rows.every(row => Object.values(row).some(value => value > 0))).toBe(true);
    },
);
