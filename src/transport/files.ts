/** The folders of `runtime.ts` on the real file system. Errors are returned, never thrown. */
import { mkdir, open, readdir, readFile, rename, unlink, type FileHandle } from 'node:fs/promises';
import { dirname, join, resolve } from 'node:path';
import type { AppendFile, FileError, Folder } from '../runtime.js';
import type { Result } from '../types.js';

function toFileError(thrown: unknown): FileError {
  const error = thrown instanceof Error ? thrown : new Error(String(thrown));
  const code = (error as NodeJS.ErrnoException).code;
  return { code: code ?? 'EIO', message: error.message };
}

async function asOutcome<T>(operation: () => Promise<T>): Promise<Result<T, FileError>> {
  try {
    return { ok: true, value: await operation() };
  } catch (thrown) {
    return { ok: false, error: toFileError(thrown) };
  }
}

function appendFile(handle: FileHandle): AppendFile {
  return {
    append(bytes) {
      return asOutcome(() => handle.appendFile(bytes));
    },
    sync() {
      return asOutcome(() => handle.datasync());
    },
    async close() {
      await asOutcome(() => handle.close());
    },
  };
}

async function syncPath(path: string): Promise<void> {
  const handle = await open(path, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** The folder at a path; nothing is touched before the first call. */
function openFolder(path: string): Folder {
  return {
    list() {
      return asOutcome(() => readdir(path));
    },
    read(name) {
      return asOutcome(() => readFile(join(path, name)));
    },
    create(name) {
      return asOutcome(async () => appendFile(await open(join(path, name), 'w')));
    },
    rename(from, to) {
      return asOutcome(() => rename(join(path, from), join(path, to)));
    },
    remove(name) {
      return asOutcome(() => unlink(join(path, name)));
    },
    syncFolder() {
      return asOutcome(() => syncPath(path));
    },
  };
}

/** Creates the folder where it is missing, with its own name durable, and opens it. */
function createFolder(path: string): Promise<Result<Folder, FileError>> {
  return asOutcome(async () => {
    const firstCreated = await mkdir(resolve(path), { recursive: true });
    for (let created = resolve(path); firstCreated !== undefined; created = dirname(created)) {
      await syncPath(dirname(created));
      if (created === firstCreated || created === dirname(created)) break;
    }
    return openFolder(path);
  });
}

export const files = { openFolder, createFolder };
