import { connect } from "node:net";

/** Sends text on a new connection and resolves to everything received until the other side closes it. */
export function sendRaw(port: number, text: string, isHalfClosed = false): Promise<string> {
    return new Promise((resolve, reject) => {
        const socket = connect({ host: "127.0.0.1", port, allowHalfOpen: true });
        let received = "";
        socket.setEncoding("utf8");
        socket.on("data", chunk => received += chunk);
        socket.on("error", reject);
        socket.on("end", () => {
            socket.end();
            resolve(received);
        });
        socket.write(text);
        if (isHalfClosed) {
            socket.end();
        }
    });
}
