import type { ObjectStore } from "@arbutusdoor/clients";
import type { Digest } from "@arbutusdoor/common";
import type { FetchedBody } from "./fetchedBody.js";
import { getBodyName } from "./getBodyName.js";

/** Fetches the text that a head row refers to. An absent object counts as unavailable, as it was stored before the row. */
export async function fetchBody(objects: ObjectStore, digest: Digest): Promise<FetchedBody> {
    const read = await objects.get(getBodyName(digest));
    switch (read.kind) {
        case "found":
            return { kind: "fetched", body: new TextDecoder().decode(read.bytes) };
        case "absent":
            return { kind: "unavailable", reason: "the object store does not have the declaration" };
        case "unavailable":
            return read;
    }
}
