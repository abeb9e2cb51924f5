// Takes the place of the hash of keys, which the platform's program does not use: it waits for WebAssembly when it is loaded, and a
// CommonJS bundle cannot wait.
export function getKeyHash() {
    throw new Error("the bundle has no hash of keys");
}
