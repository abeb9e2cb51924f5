import { LOG_EVENTS, REFUSAL_REASONS } from "@arbutusdoor/common";
import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { newLogsPage } from "../../../scripts/newLogsPage.js";
import { newSettingsPage } from "../../../scripts/newSettingsPage.js";

function readPage(name: string): string {
    return readFileSync(new URL(`../../../docs/${name}`, import.meta.url), "utf8");
}

test("docs/SETTINGS.md matches the code", () => {
    expect(readPage("SETTINGS.md")).toBe(newSettingsPage());
});

test("docs/LOGS.md matches the code, and no event number is used twice", () => {
    expect(readPage("LOGS.md")).toBe(newLogsPage());
    const numbers = Object.values(LOG_EVENTS).map(event => event.number);
    expect(new Set(numbers).size).toBe(numbers.length);
});

test("docs/OPERATIONS.md explains every refusal", () => {
    const page = readPage("OPERATIONS.md");
    const missing = Object.keys(REFUSAL_REASONS).filter(reason => !page.includes(`| \`${reason}\` |`));
    expect(missing).toEqual([]);
});

test("docs/OPERATIONS.md explains every warning and error event", () => {
    const page = readPage("OPERATIONS.md");
    const alarms = Object.entries(LOG_EVENTS).filter(([, { level }]) =>
        level === "warn" || level === "error"
    );
    const missing = alarms.map(([event]) => event).filter(event => !page.includes(`| \`${event}\` |`));
    expect(missing).toEqual([]);
});
