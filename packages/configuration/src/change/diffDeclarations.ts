import type { Declaration } from "../declaration/declaration.js";
import { getCanonicalDeclaration } from "../library/getCanonicalDeclaration.js";
import type { Difference } from "./difference.js";

type Path = readonly string[];
type Fields = ReadonlyMap<string, unknown>;

const ORDERED_LIST = "classes";

/** Returns the differences that lead from `from` to `to`, in order of path. Empty when both are equivalent. */
export function diffDeclarations(from: Declaration, to: Declaration): Difference[] {
    return compare([], getCanonicalDeclaration(from), getCanonicalDeclaration(to));
}

function compare(path: Path, from: unknown, to: unknown): Difference[] {
    if (from === to) {
        return [];
    }
    if (from === undefined) {
        return [{ kind: "added", path: [...path], value: to }];
    }
    if (to === undefined) {
        return [{ kind: "removed", path: [...path], value: from }];
    }
    if (typeof from !== "object" || typeof to !== "object") {
        return [{ kind: "changed", path: [...path], from, to }];
    }
    const fromFields = getFields(from);
    const toFields = getFields(to);
    return [...compareFields(path, fromFields, toFields), ...compareOrder(path, fromFields, toFields)];
}

function compareFields(path: Path, from: Fields, to: Fields): Difference[] {
    const names = [...new Set([...from.keys(), ...to.keys()])].sort();
    return names.flatMap(name => compare([...path, name], from.get(name), to.get(name)));
}

function compareOrder(path: Path, from: Fields, to: Fields): Difference[] {
    if (path.at(-1) !== ORDERED_LIST) {
        return [];
    }
    const fromNames = [...from.keys()].filter(name => to.has(name));
    const toNames = [...to.keys()].filter(name => from.has(name));
    const isSame = fromNames.every((name, index) => toNames[index] === name);
    return isSame ? [] : [{ kind: "reordered", path: [...path], from: fromNames, to: toNames }];
}

function getFields(value: unknown): Fields {
    if (Array.isArray(value)) {
        return new Map(value.map(element => [getElementName(element), element]));
    }
    return new Map(Object.entries(value as object));
}

function getElementName(element: string | { readonly name?: string; readonly key?: string; }): string {
    if (typeof element === "string") {
        return element;
    }
    return element.name ?? element.key ?? "";
}
