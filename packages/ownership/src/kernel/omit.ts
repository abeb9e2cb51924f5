/** Returns a copy of a record without one of its entries. */
export function omit<Name extends string, Value>(
    record: Readonly<Record<Name, Value>>,
    name: Name,
): Readonly<Record<Name, Value>> {
    const copy = { ...record };
    delete copy[name];
    return copy;
}
