import { expect, test } from "vitest";
import { TableView } from "../src/store/tableView.js";
import type { WatchedRow } from "../src/store/watchedRow.js";

function newRow(key: string, version: number, value?: string): WatchedRow<string> {
    return { key, version, content: value === undefined ? { kind: "absent" } : { kind: "value", value } };
}

function list(view: TableView<string>): string {
    return [...view.present.values()].map(({ content, key }) =>
        `${key}=${content.kind === "value" ? content.value : "?"}`
    )
        .sort().join(" ");
}

test("a view never goes back, whatever arrives late or twice", () => {
    const view = new TableView<string>();
    expect(view.applyChanges(0, [newRow("a", 1, "early")], 1)).toBe(false);
    view.applySnapshot([newRow("a", 5, "five"), newRow("b", 3, "three")], 6);
    view.applySnapshot([newRow("a", 2, "old")], 4);
    expect(list(view)).toBe("a=five b=three");
    expect(view.applyChanges(4, [newRow("a", 5, "five"), newRow("b", 7, "seven")], 7)).toBe(true);
    expect(view.applyChanges(2, [newRow("b", 3, "three"), newRow("c", 4, "deleted before six")], 5)).toBe(
        true,
    );
    expect(list(view)).toBe("a=five b=seven");
    expect(view.applyChanges(9, [newRow("a", 10, "ten")], 10)).toBe(false);
    view.applyChanges(7, [newRow("b", 8)], 8);
    expect([list(view), view.asOf]).toEqual(["a=five", 8]);
});

test("a row that comes by itself is newer or ignored, and says nothing of other rows", () => {
    const view = new TableView<string>();
    view.applyRow(newRow("a", 9, "nine"));
    view.applyRow(newRow("b", 4, "four"));
    view.applyRow(newRow("a", 8, "eight"));
    expect([list(view), view.asOf]).toEqual(["a=nine b=four", -1]);
    view.applySnapshot([newRow("a", 5, "five"), newRow("b", 6, "six"), newRow("c", 1, "one")], 6);
    expect([list(view), view.asOf]).toEqual(["a=nine b=six c=one", 6]);
});

test("listeners hear of what changed, and of rows that a new snapshot lacks", () => {
    const view = new TableView<string>();
    const heard: string[] = [];
    view.onChange(rows => heard.push(rows.map(({ content, key }) => `${key} ${content.kind}`).join(", ")));
    view.applySnapshot([newRow("a", 1, "x"), newRow("b", 1, "x")], 1);
    view.applySnapshot([newRow("a", 1, "x")], 2);
    view.applyChanges(2, [], 3);
    expect(heard).toEqual(["a value, b value", "b absent"]);
});
