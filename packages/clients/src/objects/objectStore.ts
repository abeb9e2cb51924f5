import type { ObjectRead } from "./objectRead.js";
import type { ObjectWrite } from "./objectWrite.js";

/** The platform's object store. A name is written only once, because it contains the digest of the bytes. Calls never reject. */
export abstract class ObjectStore {
    /** Stores bytes under a name. */
    abstract put(name: string, bytes: Uint8Array): Promise<ObjectWrite>;

    /** Reads the bytes of a name. */
    abstract get(name: string): Promise<ObjectRead>;
}
