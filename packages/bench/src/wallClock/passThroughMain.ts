import { cac } from "cac";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";
import { Pool } from "undici";

/** The bare libraries as a yardstick: every request goes to one server and its answer straight back. */
const cli = cac("passThrough");
cli.option("--target <address>", "IP number and port of the server");
cli.option("--connections <number>", "connections to the server", { default: 48 });
const { options } = cli.parse();
const pool = new Pool(`http://${options.target}`, { connections: Number(options.connections) });

const app = polka().use((request: IncomingMessage, response: ServerResponse) => {
    void pass(request, response);
});
app.listen(0, "127.0.0.1", () => {
    const { port } = app.server?.address() as AddressInfo;
    console.log(JSON.stringify({ address: `127.0.0.1:${port}` }));
});

async function pass(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const answer = await pool.request({ method: "GET", path: request.url ?? "/" });
    response.writeHead(answer.statusCode, { "content-type": "application/json" });
    answer.body.pipe(response);
}
