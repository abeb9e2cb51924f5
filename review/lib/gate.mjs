// A path to a server that can be cut: while it is cut, connections are reset and new ones refused, as behind a port with no listener.
import { connect, createServer } from "node:net";

export class Gate {
    async open(ip, target, port = 0) {
        this.target = target;
        this.sockets = new Set();
        this.server = createServer({ allowHalfOpen: true }, inner => this.join(inner));
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, ip, resolve);
        });
        this.place = { ip, port: this.server.address().port };
        this.address = `${ip}:${this.place.port}`;
    }

    join(inner) {
        const outer = connect({ host: this.target.ip, port: this.target.port, allowHalfOpen: true });
        for (const [socket, other] of [[inner, outer], [outer, inner]]) {
            this.sockets.add(socket);
            socket.setNoDelay(true);
            socket.on("error", () => undefined);
            socket.on("close", () => {
                this.sockets.delete(socket);
                other.destroy();
            });
            socket.pipe(other);
        }
    }

    cut() {
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
    }

    heal() {
        return this.open(this.place.ip, this.target, this.place.port);
    }

    close() {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }
}
