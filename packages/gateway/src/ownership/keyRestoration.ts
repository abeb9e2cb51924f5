import type { Milliseconds } from "@arbutusdoor/common";
import { fencingTokens } from "@arbutusdoor/policy";
import type { CoordinationTerm } from "./coordinationTerm.js";
import { getGrantExpiry } from "./getGrantExpiry.js";
import { getHolderName } from "./getHolderName.js";
import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";
import type { KeyMapStore } from "./keyMapStore.js";
import type { KeyOrder } from "./keyOrder.js";
import type { OrderDispatch } from "./orderDispatch.js";
import type { OrderScheduler } from "./orderScheduler.js";
import { planEvacuation } from "./planEvacuation.js";
import { rebuildMap } from "./rebuildMap.js";
import { RestoredKeys } from "./restoredKeys.js";
import type { ServiceCoordinatorParts } from "./serviceCoordinatorParts.js";
import { writeBackMap } from "./writeBackMap.js";

/** Releases sent in one tick, as many as when keys move. */
const RELEASES_PER_TICK = 10;

/** Dependencies of a restoration. */
type RestorationParts = {
    readonly coordinator: ServiceCoordinatorParts;
    readonly term: CoordinationTerm;
    readonly store: KeyMapStore;
    readonly dispatch: OrderDispatch;
    /** Writes a map. Returns whether it is committed under the term. */
    readonly write: (map: KeyMap) => Promise<boolean>;
};

/** A rebuild in progress: the marked map, and the keys that servers may hold by grants that it does not tell of. */
type Rebuild = { readonly map: KeyMap; readonly keys: RestoredKeys; };

/** Brings a service's map back into force after the store was restored from an older copy. */
export class KeyRestoration {
    private readonly parts: RestorationParts;
    private rebuild: Rebuild | undefined;
    private isOlderStored = false;

    constructor(parts: RestorationParts) {
        this.parts = parts;
    }

    /** Whether no key is granted yet, since any server may hold some. */
    get isRebuilding(): boolean {
        return this.rebuild !== undefined;
    }

    /** Whether the store has an older map than this coordinator. */
    get mustWriteBack(): boolean {
        return this.isOlderStored;
    }

    /** Begins a new era of the store in which this host continues to coordinate. */
    resume(hasMap: boolean): void {
        this.rebuild = undefined;
        this.isOlderStored = hasMap;
    }

    /** Whether a map that is taken over may not tell of all grants. */
    mustRebuild({ term, unknownUntil }: KeyMap): boolean {
        return fencingTokens.getEra(term) < this.parts.term.era || unknownUntil !== undefined;
    }

    /** Writes the map of a restored store under a new token, and marks it as one that does not tell of all grants. */
    async begin(committed: KeyMap, now: Milliseconds): Promise<void> {
        const { coordinator: { clock, lease, liveness, logger, service, settings }, term, write } =
            this.parts;
        const isMarked = fencingTokens.getEra(committed.term) === term.era;
        const unknownUntil = isMarked
            ? committed.unknownUntil
            : lease.toStoreTime(now + settings.renewalAuthorityMs);
        const fence = term.getNextFence(committed);
        if (unknownUntil === undefined || fence === undefined) {
            return;
        }
        const map = rebuildMap(committed, term.value, fence, unknownUntil);
        if (await write(map)) {
            const startedAt = clock.now();
            const expiresAt = getGrantExpiry(lease.toLocalTime(unknownUntil), settings);
            const { retryMs } = settings;
            liveness.recordInherited(this.listPossibleHolders(map));
            this.rebuild = { map, keys: new RestoredKeys(fence, { startedAt, expiresAt, retryMs }) };
            logger.log("keysRestored", {
                service,
                term: term.value,
                fence,
                ranges: map.ranges.length,
                servers: this.listPossibleHolders(map).length,
                limitMs: Math.round(expiresAt - startedAt),
            });
        }
    }

    /** Sends the releases that are due. */
    releaseAll(now: Milliseconds): void {
        const { rebuild } = this;
        const { coordinator: { clock, isCurrent }, dispatch } = this.parts;
        if (!rebuild) {
            return;
        }
        const { keys, map } = rebuild;
        const orders = keys.takeDueOrders(this.listPossibleHolders(map), now, RELEASES_PER_TICK);
        for (const order of orders) {
            void dispatch.send(order, () => isCurrent() && this.rebuild === rebuild).then(outcome => {
                if (outcome) {
                    keys.complete(order, outcome, clock.now());
                }
            });
        }
    }

    /**
     * Writes the map without the mark, once no server can hold a key by an unknown grant. If it is committed, returns it, with the releases
     * that have no answer; none of its ranges has been granted.
     */
    async finish(
        now: Milliseconds,
    ): Promise<{ readonly map: KeyMap; readonly unanswered: readonly KeyOrder[]; } | undefined> {
        const { coordinator: { logger, service }, term, write } = this.parts;
        const { keys, map: marked } = this.rebuild!;
        const holders = this.listPossibleHolders(marked);
        if (!keys.isCleared(holders, now)) {
            return undefined;
        }
        const unanswered = keys.listPending(holders);
        const fence = term.getNextFence(marked);
        const map = fence === undefined
            ? undefined
            : rebuildMap(this.reassign(marked, unanswered), term.value, fence);
        const isWritten = map !== undefined && await write(map);
        // After a failed write, the row is taken over again: it has the marked map, or this one.
        this.rebuild = undefined;
        if (!isWritten) {
            return undefined;
        }
        const pending = unanswered.length;
        logger.log("keysRebuilt", { service, fence, ranges: map.ranges.length, pending });
        return { map, unanswered: unanswered.map(holder => keys.createRelease(holder)) };
    }

    /**
     * Writes the map that this coordinator knows to a store that has an older one. Returns false when the store has a map of another coordinator
     * of this era.
     */
    async writeBack(scheduler: OrderScheduler): Promise<boolean> {
        const { coordinator: { logger, service }, store, term, write } = this.parts;
        const { era, value } = term;
        const stored = await store.read(era);
        if (!stored || term.isOutdated(value)) {
            return true;
        }
        if (fencingTokens.getEra(stored.term) === era && stored.term !== value) {
            return false;
        }
        const fence = term.getNextFence({ fence: Math.max(stored.fence, scheduler.map.fence) });
        const map = fence === undefined ? undefined : writeBackMap(scheduler.map, value, fence);
        if (map && await write(map)) {
            scheduler.commit(map);
            this.isOlderStored = false;
            logger.log("keysWrittenBack", { service, term: value, fence, ranges: map.ranges.length });
        }
        return true;
    }

    /** Returns the map with the ranges of owners that do not answer given to others; a grant to one of them would have to expire first. */
    private reassign(map: KeyMap, unanswered: readonly KeyHolder[]): KeyMap {
        const { directory, service } = this.parts.coordinator;
        const names = new Set(unanswered.map(getHolderName));
        const mustLeave = (owner: KeyHolder) => names.has(getHolderName(owner));
        const servers = directory.listReady(service)
            .map(({ id, slots, startedAt }) => ({ holder: { id, startedAt }, slots, capacity: slots }))
            .filter(({ holder }) => !mustLeave(holder));
        const owners = new Map(
            planEvacuation(map, servers, mustLeave, () => 0).map(({ first, owner }) => [first, owner]),
        );
        const ranges = map.ranges.map(range => ({ ...range, owner: owners.get(range.first) ?? range.owner }));
        return { ...map, ranges };
    }

    /** Returns the servers that may hold keys by grants that the map does not tell of. One that left longer ago than grants last holds none. */
    private listPossibleHolders({ ranges }: KeyMap): readonly KeyHolder[] {
        const { directory, liveness, service, settings } = this.parts.coordinator;
        const longestMs = getGrantExpiry(settings.renewalAuthorityMs, settings);
        const known = directory.listKnown(service)
            .filter(({ id }) => (directory.getLeavingTime(id) ?? 0) < longestMs)
            .map(({ id, startedAt }): KeyHolder => ({ id, startedAt }));
        const all = new Map([...ranges.map(({ owner }) => owner), ...known].map(
            (holder): [string, KeyHolder] => [getHolderName(holder), holder],
        ));
        return [...all.values()].filter(holder => liveness.getState(holder) !== "dead");
    }
}
