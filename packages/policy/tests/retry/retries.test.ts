import type { ClassId, ServiceId } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { mayRetry, RetryBudget, RetryBudgetSettings } from "../../src/index.js";

const SERVICE = "agenda" as ServiceId;
const READ = "read" as ClassId;

test("retries are limited to a tenth of first attempts, saved up to a limit, separately for each class", () => {
    const budget = new RetryBudget(RetryBudgetSettings.parse({ maxTokens: 20, initialTokens: 0 }));
    let retries = 0;
    for (let request = 0; request < 1_000; request++) {
        budget.earn(SERVICE, READ);
        retries += budget.spend(SERVICE, READ) ? 1 : 0;
    }
    for (let request = 0; request < 1_000; request++) {
        budget.earn(SERVICE, READ);
    }
    const other = budget.getTokens(SERVICE, "once" as ClassId);
    expect({ retries, saved: budget.getTokens(SERVICE, READ), other }).toMatchInlineSnapshot(`
      {
        "other": 0,
        "retries": 99,
        "saved": 20,
      }
    `);
});

test("pairs beyond the limit replace the least recently used one", () => {
    const budget = new RetryBudget(
        RetryBudgetSettings.parse({ share: 0.25, maxClasses: 2, initialTokens: 1 }),
    );
    for (const name of ["a", "b", "a", "c"]) {
        budget.earn(SERVICE, name as ClassId);
    }
    const tokens = ["a", "b", "c"].map(name => budget.getTokens(SERVICE, name as ClassId));
    expect(tokens).toEqual([1.5, 1, 1.25]);
});

test("an unknown outcome is retried only for an idempotent class, a refusal for both, within all limits", () => {
    const rows: string[] = [];
    for (const isIdempotent of [true, false]) {
        for (const outcome of ["answered", "notRun", "unknown"] as const) {
            const requestClass = { isIdempotent, retries: 2 };
            const first = mayRetry(requestClass, outcome, 1, 1, 100);
            const spent = mayRetry(requestClass, outcome, 1, 0.9, 100);
            const late = mayRetry(requestClass, outcome, 1, 1, 0);
            const third = mayRetry(requestClass, outcome, 3, 1, 100);
            rows.push(`idempotent ${isIdempotent}, ${outcome}: ${first}; never ${spent || late || third}`);
        }
    }
    expect(rows).toMatchInlineSnapshot(`
      [
        "idempotent true, answered: false; never false",
        "idempotent true, notRun: true; never false",
        "idempotent true, unknown: true; never false",
        "idempotent false, answered: false; never false",
        "idempotent false, notRun: true; never false",
        "idempotent false, unknown: false; never false",
      ]
    `);
});
