import { type ObjectRead, ObjectStore, type ObjectWrite } from "@arbutusdoor/clients";

/** An in-memory object store that can be made unavailable. */
export class MemoryObjects extends ObjectStore {
    isDown = false;
    readonly objects = new Map<string, Uint8Array>();

    override async put(name: string, bytes: Uint8Array): Promise<ObjectWrite> {
        if (this.isDown) {
            return { kind: "notRun", reason: "down" };
        }
        this.objects.set(name, bytes);
        return { kind: "stored" };
    }

    override async get(name: string): Promise<ObjectRead> {
        if (this.isDown) {
            return { kind: "unavailable", reason: "down" };
        }
        const bytes = this.objects.get(name);
        return bytes ? { kind: "found", bytes } : { kind: "absent" };
    }
}
