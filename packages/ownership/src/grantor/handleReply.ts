import type { Order, OrderOutcome, OrderReply } from "@arbutusdoor/clients";
import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import type { Effect } from "../kernel/effect.js";
import type { Step } from "../kernel/step.js";
import type { Grant } from "../state/grant.js";
import type { HostState } from "../state/hostState.js";
import { recordReading } from "./recordReading.js";
import { recordSlices } from "./recordSlices.js";
import { reportStops } from "./reportStops.js";

/** Handles the outcome of an order to a server of which this host is grantor. */
export function handleReply(
    state: HostState,
    order: Order,
    sentAt: Milliseconds,
    outcome: OrderOutcome,
    now: Milliseconds,
): Step {
    const grant = state.grants[order.server];
    if (!grant) {
        return { state, effects: [] };
    }
    const isNewest = grant.orderSentAt !== undefined && sentAt >= grant.orderSentAt;
    const ended: Grant = isNewest ? { ...grant, orderSentAt: undefined } : grant;
    if (outcome.kind !== "reply") {
        const isRefused = outcome.kind === "refused";
        const reportDue = isRefused && !grant.isRefused ? { nextReportAt: now } : {};
        return { state: setGrant(state, { ...ended, isRefused, ...reportDue }), effects: [] };
    }
    const { reply } = outcome;
    if (reply.incarnation !== grant.incarnation) {
        return { state: setGrant(state, recordOther(ended, reply, sentAt, now)), effects: [] };
    }
    const answered = recordReply(state, ended, order, reply, sentAt, now);
    const adopted = setGrant(state, answered);
    const isStale = reply.epoch > grant.epoch || isListBehind(adopted, order.server, reply);
    const step = reportStops(isStale ? scheduleScan(adopted, now) : adopted, order.server, now);
    return { state: step.state, effects: [...getTakenEvents(grant, answered), ...step.effects] };
}

function recordReply(
    state: HostState,
    grant: Grant,
    order: Order,
    reply: OrderReply,
    sentAt: Milliseconds,
    now: Milliseconds,
): Grant {
    const read = recordReading(state, grant, order, reply, sentAt, now);
    const recorded = recordSlices(read, order, reply, now);
    const isNews = reply.isLeaving !== grant.isLeaving
        || reply.listVersion > grant.listVersion
        || reply.epoch > grant.acknowledgedEpoch;
    return {
        ...recorded,
        repliedAt: Math.max(grant.repliedAt, sentAt),
        listVersion: Math.max(grant.listVersion, reply.listVersion),
        acknowledgedEpoch: Math.max(grant.acknowledgedEpoch, reply.epoch),
        isLeaving: reply.isLeaving,
        isRefused: false,
        otherIncarnation: undefined,
        nextReportAt: isNews ? now : recorded.nextReportAt,
    };
}

/**
 * Records that another incarnation answers at the server's address. Replies to orders sent before this host knew the present incarnation,
 * or before its last reply, are outdated.
 */
function recordOther(grant: Grant, reply: OrderReply, sentAt: Milliseconds, now: Milliseconds): Grant {
    if (sentAt <= grant.knownSince || sentAt <= grant.repliedAt) {
        return grant;
    }
    const isNews = grant.otherIncarnation !== reply.incarnation;
    return {
        ...grant,
        otherIncarnation: reply.incarnation,
        isRefused: false,
        nextReportAt: isNews ? now : grant.nextReportAt,
    };
}

function isListBehind(state: HostState, server: ServerId, reply: OrderReply): boolean {
    const row = state.servers[server]?.value;
    const newest = row?.change?.listVersion ?? row?.list.listVersion ?? 0;
    return reply.listVersion > newest;
}

function scheduleScan(state: HostState, now: Milliseconds): HostState {
    const soon = now + state.settings.reportIntervalMs;
    return { ...state, table: { ...state.table, nextScanAt: Math.min(state.table.nextScanAt, soon) } };
}

function setGrant(state: HostState, grant: Grant): HostState {
    return { ...state, grants: { ...state.grants, [grant.server]: grant } };
}

function getTakenEvents(before: Grant, after: Grant): readonly Effect[] {
    const { server, epoch } = after;
    const paths = Object.keys(after.taken).filter(path => after.taken[path] !== before.taken[path]);
    return paths.map(slice => ({
        kind: "log",
        event: "sliceTaken",
        fields: { server, epoch, slice, generation: after.taken[slice] },
    }));
}
