import { type BackendAnswer, type BackendRequest, BackendTraffic } from "@arbutusdoor/clients";

/** Backend traffic that answers by a script and records the requests. */
export class ScriptedTraffic extends BackendTraffic {
    readonly sent: BackendRequest[] = [];
    private readonly script: (
        request: BackendRequest,
        count: number,
    ) => Promise<BackendAnswer> | BackendAnswer;

    constructor(script: ScriptedTraffic["script"]) {
        super();
        this.script = script;
    }

    override async send(request: BackendRequest): Promise<BackendAnswer> {
        this.sent.push(request);
        return this.script(request, this.sent.length);
    }

    override limitConnections(): void {}

    override async close(): Promise<void> {}
}
