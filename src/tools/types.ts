/** What a command-line tool is given and what it ends with. Tools write nothing themselves. */

/** What goes to standard output and standard error, and the exit code: 0 success, 1 findings or an error, 2 wrong usage. */
export type ToolResult = { exitCode: 0 | 1 | 2; stdout: string; stderr: string };

/** The options of the command line as far as tools read them, not checked; see `milletcleat --help`. */
export type ToolFlags = {
  /** The control address of a coordinator, `ip:port`. */
  control?: string;
  /** The revision that a change of the configuration builds on. */
  match?: number;
  /** The term of a roll-out, in seconds. */
  over?: number;
  /** JSON is printed in place of text. */
  json: boolean;
  /** Names of changes in the fleet file. */
  change?: string[];
  /** The role whose settings are checked. */
  part?: string;
};

/** The tool did what it was asked for. */
function success(stdout: string): ToolResult {
  return { exitCode: 0, stdout, stderr: '' };
}

/** Findings or an error; `stdout` is what there is to show all the same. */
function failure(stderr: string, stdout = ''): ToolResult {
  return { exitCode: 1, stdout, stderr };
}

/** The command line is wrong; nothing was done. */
function usageError(stderr: string): ToolResult {
  return { exitCode: 2, stdout: '', stderr };
}

export const toolResult = { success, failure, usageError };
