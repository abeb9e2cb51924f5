import type { SliceGeneration } from "@arbutusdoor/clients";
import type { ClassId, RequestId, ServerId, ServiceId, SliceId } from "@arbutusdoor/common";
import type { RelayRequest } from "../relay/relayRequest.js";
import { isPlainObject } from "./checks/isPlainObject.js";
import { isText } from "./checks/isText.js";
import { isTextOrAbsent } from "./checks/isTextOrAbsent.js";
import { isTextRecord } from "./checks/isTextRecord.js";

/** Decodes the fields of a relayed request in their encoded order; returns `undefined` when they are invalid. */
export function readRequest(fields: readonly unknown[]): RelayRequest | undefined {
    const [id, service, key, classId, method, path, headers, deadline, server, slice, hasBody] = fields;
    if (!isText(id) || !isText(service) || !isTextOrAbsent(key) || !isText(classId)) {
        return undefined;
    }
    if (!isText(method) || !isText(path) || !isTextRecord(headers) || !isTextOrAbsent(server)) {
        return undefined;
    }
    const isDeadline = typeof deadline === "number" && Number.isFinite(deadline);
    const isSlice = slice === undefined || isSliceGeneration(slice);
    if (!isDeadline || !isSlice || typeof hasBody !== "boolean") {
        return undefined;
    }
    return {
        id: id as RequestId,
        service: service as ServiceId,
        key,
        classId: classId as ClassId,
        method,
        path,
        headers,
        deadline,
        server: server as ServerId | undefined,
        slice,
        hasBody,
    };
}

function isSliceGeneration(value: unknown): value is SliceGeneration {
    if (!isPlainObject(value)) {
        return false;
    }
    const { service, slice, generation } = value as {
        service?: ServiceId;
        slice?: SliceId;
        generation?: number;
    };
    return isText(service) && isText(slice) && Number.isSafeInteger(generation);
}
