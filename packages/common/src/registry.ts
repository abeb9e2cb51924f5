import { InvariantError } from "./errors/invariantError.js";

/** Registry of named items that are added when their module is loaded. Names are unique. */
export class Registry<Item extends { readonly name: string; }> {
    private readonly items = new Map<string, Item>();

    /** Adds an item. Throws an InvariantError when its name is already registered. */
    register(item: Item): Item {
        if (this.items.has(item.name)) {
            throw new InvariantError(`"${item.name}" is registered twice`);
        }
        this.items.set(item.name, item);
        return item;
    }

    /** Returns the item with that name, or `undefined`. */
    get(name: string): Item | undefined {
        return this.items.get(name);
    }

    /** Returns all items in order of registration. */
    list(): readonly Item[] {
        return [...this.items.values()];
    }
}
