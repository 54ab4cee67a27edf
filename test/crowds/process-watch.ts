/** What the system says of a process while it runs (Linux): its highest memory and its open descriptors. */
import { readdirSync, readFileSync } from 'node:fs';

const bytesPerKilobyte = 1024;
const sampleIntervalMs = 50;

/** Follows one process from now on. */
export class ProcessWatch {
  peakDescriptors = 0;
  readonly #pid: number;
  readonly #timer: NodeJS.Timeout;

  constructor(pid: number) {
    this.#pid = pid;
    this.#timer = setInterval(() => this.#sample(), sampleIntervalMs);
    this.#sample();
  }

  /** The most resident memory that the process has had, in bytes; null once it has ended. */
  peakMemoryBytes(): number | null {
    try {
      const text = readFileSync(`/proc/${this.#pid}/status`, 'utf8');
      return Number(/^VmHWM:\s+(\d+) kB$/m.exec(text)![1]) * bytesPerKilobyte;
    } catch {
      return null;
    }
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #sample(): void {
    try {
      this.peakDescriptors = Math.max(this.peakDescriptors, readdirSync(`/proc/${this.#pid}/fd`).length);
    } catch {
      // The process has ended, which its test notices by itself.
    }
  }
}
