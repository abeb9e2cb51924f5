import type { Message } from "../protocol/message.js";
import type { Link } from "./link.js";

/** Whoever a link reports to. */
export abstract class LinkListener {
    /** A message arrived. False when it breaks the protocol; the link then closes. */
    abstract receive(link: Link, message: Message): boolean;

    /** The link is gone; called once. */
    abstract onLost(link: Link, reason: string): void;
}
