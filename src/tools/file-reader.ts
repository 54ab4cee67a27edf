/**
 * Reads the files that the tools are given: text, JSON and YAML, all in UTF-8. Errors are typed; `findingsOf` makes
 * the findings, each with file and line, that a tool shows.
 */
import { readFileSync } from 'node:fs';
import { LineCounter, parseDocument, type Document } from 'yaml';
import type { Finding, Result } from '../types.js';

/** A YAML document; `lines` gives the line of an offset in the file. */
export type YamlFile = { doc: Document; lines: LineCounter };

/** One fault in the syntax of a file. `line` counts from 1; it is null where the parser does not say it. */
export type SyntaxFault = { line: number | null; message: string };

/** Why a file could not be read. None of these goes away by a retry. */
export type FileReadError =
  | { kind: 'not_found'; file: string }
  | { kind: 'is_directory'; file: string }
  | { kind: 'permission_denied'; file: string }
  | { kind: 'io_error'; file: string; cause: NodeJS.ErrnoException }
  | { kind: 'invalid_syntax'; file: string; faults: SyntaxFault[] };

function readError(file: string, cause: NodeJS.ErrnoException): FileReadError {
  switch (cause.code) {
    case 'ENOENT':
      return { kind: 'not_found', file };
    case 'EISDIR':
      return { kind: 'is_directory', file };
    case 'EACCES':
      return { kind: 'permission_denied', file };
    default:
      return { kind: 'io_error', file, cause };
  }
}

/** The content of a file. */
function readText(file: string): Result<string, FileReadError> {
  try {
    return { ok: true, value: readFileSync(file, 'utf8') };
  } catch (error) {
    return { ok: false, error: readError(file, error as NodeJS.ErrnoException) };
  }
}

/** The value that a JSON file holds, not checked. */
function readJson(file: string): Result<unknown, FileReadError> {
  const content = readText(file);
  if (!content.ok) return content;
  try {
    return { ok: true, value: JSON.parse(content.value) };
  } catch (error) {
    const faults = [{ line: null, message: (error as SyntaxError).message }];
    return { ok: false, error: { kind: 'invalid_syntax', file, faults } };
  }
}

/** The document in a YAML file, not checked. */
function readYaml(file: string): Result<YamlFile, FileReadError> {
  const content = readText(file);
  if (!content.ok) return content;
  const lines = new LineCounter();
  const doc = parseDocument(content.value, { lineCounter: lines });
  if (doc.errors.length === 0) return { ok: true, value: { doc, lines } };
  const faults = doc.errors.map((error) => ({ line: error.linePos?.[0].line ?? 1, message: firstLine(error.message) }));
  return { ok: false, error: { kind: 'invalid_syntax', file, faults } };
}

/** Parsers put an excerpt of the file behind the first line of their messages. */
function firstLine(message: string): string {
  return message.split('\n')[0]!;
}

/** The error for a reader: one finding, or one for each fault in the syntax. */
function findingsOf(error: FileReadError): Finding[] {
  const { file } = error;
  switch (error.kind) {
    case 'not_found':
      return [{ path: file, text: 'there is no such file' }];
    case 'is_directory':
      return [{ path: file, text: 'is a folder' }];
    case 'permission_denied':
      return [{ path: file, text: 'may not be read' }];
    case 'io_error':
      return [{ path: file, text: error.cause.message }];
    case 'invalid_syntax':
      return error.faults.map(({ line, message }) => ({
        path: line === null ? file : `${file}:${line}`,
        text: message,
      }));
  }
}

export const fileReader = { readText, readJson, readYaml, firstLine, findingsOf };
