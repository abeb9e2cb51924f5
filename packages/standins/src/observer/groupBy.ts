/** Items by a name that each has, in order of their first appearance. */
export function groupBy<Item>(
    items: readonly Item[],
    getName: (item: Item) => string,
): ReadonlyMap<string, readonly Item[]> {
    const groups = new Map<string, Item[]>();
    for (const item of items) {
        const name = getName(item);
        const group = groups.get(name);
        if (group) {
            group.push(item);
        }
        else {
            groups.set(name, [item]);
        }
    }
    return groups;
}
