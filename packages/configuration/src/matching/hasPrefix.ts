/** Whether a path starts with all segments of `prefix`. */
export function hasPrefix(segments: readonly string[], prefix: readonly string[]): boolean {
    return prefix.every((segment, index) => segments[index] === segment);
}
