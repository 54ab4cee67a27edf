// A tool's end: what it prints, what it has to say on standard error, and its exit status (0 well,
// 1 findings or error, 2 wrong usage).
export type ToolEnd = { status: 0 | 1 | 2; out: string; err: string };
export type ToolFlags = {
  settings?: string;
  control?: string;
  match?: number;
  json: boolean;
  change?: string[];
  part?: string;
};

function well(out: string): ToolEnd {
  return { status: 0, out, err: '' };
}

function error(err: string, out = ''): ToolEnd {
  return { status: 1, out, err };
}

function usage(err: string): ToolEnd {
  return { status: 2, out: '', err };
}

export const toolEnd = { well, error, usage };
