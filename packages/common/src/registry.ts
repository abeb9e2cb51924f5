import { InvariantError } from "./errors/invariantError.js";

/** A named set of things that register themselves when their module is loaded; a name is taken once. */
export class Registry<Item extends { readonly name: string; }> {
    private readonly items = new Map<string, Item>();

    /** Adds an item. Throws InvariantError when its name is taken. */
    register(item: Item): Item {
        if (this.items.has(item.name)) {
            throw new InvariantError(`"${item.name}" is registered twice`);
        }
        this.items.set(item.name, item);
        return item;
    }

    /** The item of that name, or `undefined`. */
    get(name: string): Item | undefined {
        return this.items.get(name);
    }

    /** All items in order of registration. */
    list(): readonly Item[] {
        return [...this.items.values()];
    }
}
