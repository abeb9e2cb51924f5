import { InputError } from "@arbutusdoor/common";

/** Returns the base URL of a host given as address and port or as a URL. Throws InputError when it is neither. */
export function getUrl(host: string): string {
    const text = /^https?:\/\//.test(host) ? host : `http://${host}`;
    let url: URL;
    try {
        url = new URL(text);
    }
    catch {
        throw new InputError(`"${host}" is not a host: give an IP number and a port, such as 10.0.0.7:7003`);
    }
    return url.origin;
}
