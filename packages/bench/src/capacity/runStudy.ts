import { fitLine } from "./fit/fitLine.js";
import type { Study } from "./study.js";
import type { StudyOptions } from "./studyOptions.js";
import type { StudyResult } from "./studyResult.js";

/** Runs a study and fits each of its columns against its axis. */
export async function runStudy(study: Study, options: StudyOptions): Promise<StudyResult> {
    const { name, question, axis } = study;
    const rows = await study.run(options);
    const columns = Object.keys(rows[0] ?? {}).filter(column => column !== axis);
    const fits = columns.map(column => {
        const points = rows.map(row => ({ x: row[axis] ?? 0, y: row[column] ?? 0 }));
        return { column, fit: fitLine(points) };
    });
    return { name, question, axis, rows, fits };
}
