import type { RowKey } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";

/**
 * Whether a transaction on these rows may begin: none of them is in one, none has an unknown outcome, fewer transactions than allowed are
 * in progress, and the last call to the table service succeeded (after a failure, reads find out when it is available again).
 */
export function canWrite(state: HostState, keys: readonly RowKey[]): boolean {
    const { transactions, uncertain, failures } = state.table;
    const running = Object.values(transactions);
    if (failures > 0 || running.length >= state.settings.transactionsInProgress) {
        return false;
    }
    const isBusy = (key: RowKey) =>
        uncertain.includes(key)
        || running.some(({ transaction }) => transaction.writes.some(write => write.key === key));
    return !keys.some(isBusy);
}
