/** Version of the protocol between entry hosts; hosts of other versions refuse each other. */
export const PROTOCOL_VERSION = 1;
