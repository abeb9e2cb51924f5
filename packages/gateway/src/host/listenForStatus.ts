import { createServer } from "node:http";
import polka from "polka";
import { splitAddress } from "./splitAddress.js";

/** Answer of a status endpoint. */
type StatusAnswer = { readonly status: number; readonly type?: string; readonly text?: string; };

/** Serves one endpoint, which tells the platform how this host is doing, at an address of its own. */
export function listenForStatus(address: string, path: string, getAnswer: () => StatusAnswer): void {
    const [host, port] = splitAddress(address);
    const app = polka({ server: createServer() }).get(path, (_, response) => {
        const { status, text, type } = getAnswer();
        response.statusCode = status;
        if (type !== undefined) {
            response.setHeader("content-type", type);
        }
        response.end(text);
    });
    app.listen(port, host);
}
