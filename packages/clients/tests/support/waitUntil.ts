/** Resolves once a condition holds; the test's own time limit ends it otherwise. */
export async function waitUntil(isTrue: () => boolean): Promise<void> {
    while (!isTrue()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}
