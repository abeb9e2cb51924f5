import { Metrics, type Milliseconds, type OperationId, SystemClock } from "@arbutusdoor/common";
import { LogRecorder } from "../../configuration/tests/logRecorder.js";
import { OperatorServer } from "../../daemon/src/operator/operatorServer.js";
import { OperatorSettings } from "../../daemon/src/operator/operatorSettings.js";
import { FakeOperatorContext } from "../../daemon/tests/operator/fakeOperatorContext.js";
import { runTool } from "../src/runTool.js";
import { Terminal } from "../src/terminal/terminal.js";

const TOKEN = "a-token-of-the-operators";
const SPEED_UP = 20;

class FastClock extends SystemClock {
    override sleep(delay: Milliseconds): Promise<void> {
        return super.sleep(delay / SPEED_UP);
    }
}

class TerminalRecorder extends Terminal {
    readonly lines: string[] = [];

    override print(line: string): void {
        this.lines.push(line);
    }

    override printError(line: string): void {
        this.lines.push(`! ${line}`);
    }
}

/** Runs hosts in this process and the tool's commands against them. Records their output, with host names for addresses. */
export class ToolHarness {
    /** Token in the environment of the tool. */
    token: string | undefined = TOKEN;
    private readonly hosts: { readonly name: string; readonly address: string; }[] = [];
    private readonly closers: (() => Promise<void>)[] = [];
    private readonly lines: string[] = [];
    private operations = 0;

    /** Starts the operators' port of a host. */
    async start(context: FakeOperatorContext): Promise<OperatorServer> {
        const clock = new SystemClock();
        const server = new OperatorServer({
            context,
            token: TOKEN,
            settings: OperatorSettings.parse({ port: 0 }),
            clock,
            logger: new LogRecorder(clock, () => undefined),
            metrics: new Metrics(),
        });
        const port = await server.listen();
        this.hosts.push({ name: context.host, address: `127.0.0.1:${port}` });
        this.closers.push(() => server.close());
        return server;
    }

    /** Adds the address of a host that the harness does not start. */
    addAbsent(name: string, address: string): void {
        this.hosts.push({ name, address });
    }

    /** Runs a command with the addresses of all hosts and records its output and exit code. */
    async run(...args: string[]): Promise<void> {
        const terminal = new TerminalRecorder();
        const hosts = this.hosts.map(({ address }) => address).join(",");
        const code = await runTool(args, {
            environment: { ARBUTUSDOOR_TOKEN: this.token, ARBUTUSDOOR_HOSTS: hosts, USER: "marshal" },
            terminal,
            clock: new FastClock(),
            createOperationId: () => `operation-${++this.operations}` as OperationId,
        });
        this.lines.push(`$ arbutusdoor ${args.join(" ")}`, ...terminal.lines, `exit ${code}`, "");
    }

    /** Returns all commands with their output; the folder, digests and addresses, which differ between runs, are removed or replaced. */
    print(folder: string): string {
        let text = this.lines.join("\n").replaceAll(folder, "").replace(/[0-9a-f]{64}/g, "<digest>");
        for (const { name, address } of this.hosts) {
            text = text.replaceAll(address, name);
        }
        return text;
    }

    /** Stops all hosts. */
    async close(): Promise<void> {
        await Promise.all(this.closers.map(close => close()));
    }
}
