import { expect, test } from "vitest";
import { TableView } from "../src/store/tableView.js";
import type { WatchedRow } from "../src/store/watchedRow.js";

function createRow(key: string, version: number, value?: string): WatchedRow<string> {
    return { key, version, content: value === undefined ? { kind: "absent" } : { kind: "value", value } };
}

function list(view: TableView<string>): string {
    return [...view.present.values()].map(({ content, key }) =>
        `${key}=${content.kind === "value" ? content.value : "?"}`
    )
        .sort().join(" ");
}

test("a view never goes back in time, even if changes arrive late or twice", () => {
    const view = new TableView<string>();
    expect(view.applyChanges(0, [createRow("a", 1, "early")], 1)).toBe(false);
    view.applySnapshot([createRow("a", 5, "five"), createRow("b", 3, "three")], 6);
    view.applySnapshot([createRow("a", 2, "old")], 4);
    expect(list(view)).toBe("a=five b=three");
    expect(view.applyChanges(4, [createRow("a", 5, "five"), createRow("b", 7, "seven")], 7)).toBe(true);
    expect(view.applyChanges(2, [createRow("b", 3, "three"), createRow("c", 4, "deleted before six")], 5))
        .toBe(
            true,
        );
    expect(list(view)).toBe("a=five b=seven");
    expect(view.applyChanges(9, [createRow("a", 10, "ten")], 10)).toBe(false);
    view.applyChanges(7, [createRow("b", 8)], 8);
    expect([list(view), view.asOf]).toEqual(["a=five", 8]);
});

test("a single row is applied only if it is newer, and implies nothing about other rows", () => {
    const view = new TableView<string>();
    view.applyRow(createRow("a", 9, "nine"));
    view.applyRow(createRow("b", 4, "four"));
    view.applyRow(createRow("a", 8, "eight"));
    expect([list(view), view.asOf]).toEqual(["a=nine b=four", -1]);
    view.applySnapshot([createRow("a", 5, "five"), createRow("b", 6, "six"), createRow("c", 1, "one")], 6);
    expect([list(view), view.asOf]).toEqual(["a=nine b=six c=one", 6]);
});

test("listeners receive the changed rows and those that a new snapshot lacks", () => {
    const view = new TableView<string>();
    const received: string[] = [];
    view.onChange(rows => received.push(rows.map(({ content, key }) => `${key} ${content.kind}`).join(", ")));
    view.applySnapshot([createRow("a", 1, "x"), createRow("b", 1, "x")], 1);
    view.applySnapshot([createRow("a", 1, "x")], 2);
    view.applyChanges(2, [], 3);
    expect(received).toEqual(["a value, b value", "b absent"]);
});
