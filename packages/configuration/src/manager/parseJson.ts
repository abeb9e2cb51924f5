/** Returns the value of a JSON text, or `undefined` when it is not JSON. */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
