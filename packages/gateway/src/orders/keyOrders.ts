import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { KeyGrant } from "./keyGrant.js";
import type { KeyRange } from "./keyRange.js";
import type { OrderOutcome } from "./orderOutcome.js";

/** Sends orders to backend servers that own keys. Calls never reject. */
export abstract class KeyOrders {
    /** Grants a range or renews the same grant. */
    abstract grant(server: RegisteredServer, grant: KeyGrant): Promise<OrderOutcome>;

    /** Takes a range away; the server answers when the work that was running on it has ended. */
    abstract release(server: RegisteredServer, range: KeyRange, fence: number): Promise<OrderOutcome>;

    /**
     * Restricts when connections may be opened. An order over a connection that is open reaches only the process that accepted the connection,
     * never a later incarnation of the server. While no connection is open, other orders end as `notConnected`.
     *
     * @param mayConnect whether connections may be opened now; asked before and after each is opened
     */
    abstract restrictConnecting(mayConnect: () => boolean): void;

    /** Gives up all orders in progress at once: those that have not arrived yet never will. */
    abstract abandon(): void;
}
