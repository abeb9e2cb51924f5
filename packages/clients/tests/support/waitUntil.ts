/** Resolves once a condition holds; limited by the test's timeout. */
export async function waitUntil(isTrue: () => boolean): Promise<void> {
    while (!isTrue()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}
