import { InputError } from "@arbutusdoor/common";
import { checkDeclaration, type DeclarationCheck } from "@arbutusdoor/configuration";
import { readFile } from "node:fs/promises";

/** Reads and validates a declaration file. Throws InputError when it cannot be read or is not JSON. */
export async function readDeclarationFile(file: string): Promise<DeclarationCheck> {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (error) {
        throw new InputError(`cannot read ${file}: ${(error as NodeJS.ErrnoException).code ?? "failed"}`);
    }
    try {
        return checkDeclaration(JSON.parse(text));
    }
    catch (error) {
        if (error instanceof SyntaxError) {
            throw new InputError(`${file} is not JSON: ${error.message}`);
        }
        throw error;
    }
}
