import type { Message } from "../protocol/message.js";
import type { Link } from "./link.js";

/** Receives the messages and the end of a link. */
export abstract class LinkListener {
    /** Handles a message. Returns false when it violates the protocol; the link is then terminated. */
    abstract receive(link: Link, message: Message): boolean;

    /** Called once when the link is lost. */
    abstract onLost(link: Link, reason: string): void;
}
