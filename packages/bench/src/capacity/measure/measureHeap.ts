import { collectGarbage } from "./collectGarbage.js";

/** Bytes that what `build` returns keeps in this process: on the heap and in buffers. */
export function measureHeap<Value>(build: () => Value): { readonly value: Value; readonly bytes: number; } {
    const before = getUsedBytes();
    const value = build();
    return { value, bytes: getUsedBytes() - before };
}

function getUsedBytes(): number {
    collectGarbage();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}
