import type { Socket } from "node:net";

/** Resolves to how the other side ended a connection: by a close, or by a reset, which drops undelivered bytes. */
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
