import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { onTestFinished } from "vitest";

/** A TCP server that runs a script each time data arrives on a connection; it is closed at the end of the test. */
export class ScriptedServer {
    readonly received: string[] = [];
    readonly sockets: Socket[] = [];
    address = "";

    static async start(script: (socket: Socket, count: number) => void): Promise<ScriptedServer> {
        const scripted = new ScriptedServer();
        const server = createServer(socket => {
            scripted.sockets.push(socket);
            socket.on("error", () => undefined);
            socket.on("data", data => {
                scripted.received.push(data.toString("latin1"));
                script(socket, scripted.received.length);
            });
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        scripted.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        onTestFinished(() => {
            scripted.sockets.forEach(socket => socket.destroy());
            server.close();
        });
        return scripted;
    }
}
