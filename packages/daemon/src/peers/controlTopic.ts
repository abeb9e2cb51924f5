/** Topics of the control messages between entry hosts. */
export type ControlTopic = "ownership" | "configuration" | "load";
