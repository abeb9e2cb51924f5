import type { Socket } from "node:net";

/** How the other side ended a connection: in order, or by a reset that drops what has not arrived. */
export function waitForClose(socket: Socket): Promise<"closed" | "reset"> {
    return new Promise((resolve, reject) => {
        socket.on("end", () => resolve("closed"));
        socket.on("error", (error: NodeJS.ErrnoException) => {
            if (error.code === "ECONNRESET") {
                resolve("reset");
            }
            else {
                reject(error);
            }
        });
    });
}
