import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, type WriteStream } from "node:fs";
import { join } from "node:path";
import { createInterface } from "node:readline";

const STOP_LIMIT_MS = 20_000;
const KEPT_LINES = 400;

/** A program of this repository that a script or test started, known by its process id. */
export class ChildProgram {
    readonly name: string;
    /** Last lines that the program printed. */
    readonly lines: string[] = [];
    /** Gets every line, when a folder for logs is set. */
    private readonly log: WriteStream | undefined;
    private readonly child: ChildProcess;
    private hasClosed = false;
    private readonly waiters = new Set<() => void>();

    constructor(
        name: string,
        file: string,
        flags: readonly string[],
        environment: Record<string, string> = {},
    ) {
        this.name = name;
        const folder = process.env["ARBUTUSDOOR_LOG_FOLDER"];
        this.log = folder ? createWriteStream(join(folder, `${name}.log`), { flags: "a" }) : undefined;
        this.child = spawn(process.execPath, [file, ...flags], {
            env: { ...process.env, ...environment },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.collect(this.child.stdout!);
        this.collect(this.child.stderr!);
        this.child.once("exit", () => this.wake());
        this.child.once("close", () => {
            this.hasClosed = true;
            this.log?.end();
            this.wake();
        });
    }

    /** Process id. */
    get pid(): number {
        return this.child.pid!;
    }

    /** Whether the process has ended. */
    get hasEnded(): boolean {
        return this.child.exitCode !== null || this.child.signalCode !== null;
    }

    /** Exit code, or `undefined` when the process runs or was killed. */
    get exitCode(): number | undefined {
        return this.child.exitCode ?? undefined;
    }

    /** Resolves with the first line that matches; rejects when the program ends before it. */
    async waitForLine(pattern: RegExp): Promise<string> {
        for (;;) {
            const line = this.lines.find(other => pattern.test(other));
            if (line !== undefined) {
                return line;
            }
            if (this.hasEnded) {
                throw new Error(`${this.name} ended early:\n${this.lines.join("\n")}`);
            }
            await new Promise<void>(resolve => this.waiters.add(resolve));
        }
    }

    /** Resolves when the process has ended and all that it printed was read. */
    async waitForEnd(): Promise<void> {
        while (!this.hasClosed) {
            await new Promise<void>(resolve => this.waiters.add(resolve));
        }
    }

    /** Sends a signal to the process. */
    signal(name: NodeJS.Signals): void {
        if (!this.hasEnded) {
            this.child.kill(name);
        }
    }

    /** Asks the program to stop gracefully and waits for its end; kills it when it takes too long. */
    async stop(): Promise<void> {
        if (this.hasEnded) {
            return;
        }
        const ended = once(this.child, "exit");
        this.signal("SIGCONT");
        this.signal("SIGTERM");
        const timer = setTimeout(() => this.signal("SIGKILL"), STOP_LIMIT_MS);
        await ended;
        clearTimeout(timer);
    }

    /** Kills the process and waits for its end. */
    async kill(): Promise<void> {
        if (!this.hasEnded) {
            const ended = once(this.child, "exit");
            this.signal("SIGKILL");
            await ended;
        }
    }

    private collect(stream: NodeJS.ReadableStream): void {
        createInterface({ input: stream }).on("line", line => {
            this.log?.write(`${line}\n`);
            this.lines.push(line);
            if (this.lines.length > KEPT_LINES) {
                this.lines.shift();
            }
            this.wake();
        });
    }

    private wake(): void {
        const waiters = [...this.waiters];
        this.waiters.clear();
        waiters.forEach(waiter => waiter());
    }
}
