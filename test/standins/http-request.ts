/** One HTTP request of a test, over a real connection. */
import { request, type Agent } from 'node:http';

/** `isComplete` is false if the connection ended before the response did; without a response the status is 0. */
export type HttpResult = {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  isComplete: boolean;
};

/** Above every deadline of the fleet's configuration; it only ends a request that nobody answers. */
const inactivityTimeoutMs = 10_000;

/** Sends one request and waits for its end; without `agent` on a connection of its own. Never rejects. */
export function sendRequest(
  host: string,
  port: number,
  method: string,
  path: string,
  headers: Record<string, string>,
  body: string,
  agent: Agent | false = false,
  timeoutMs = inactivityTimeoutMs,
): Promise<HttpResult> {
  return new Promise((resolve) => {
    const outgoing = request({ host, port, method, path, headers, agent, timeout: timeoutMs });
    const noResponse: HttpResult = { status: 0, headers: {}, body: '', isComplete: false };
    outgoing.on('timeout', () => {
      outgoing.destroy();
    });
    outgoing.on('error', () => {
      resolve(noResponse);
    });
    outgoing.on('response', (response) => {
      let text = '';
      response.on('data', (chunk) => {
        text += String(chunk);
      });
      response.on('close', () => {
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: text,
          isComplete: response.complete,
        });
      });
      response.on('error', () => {
        /* reported by close */
      });
    });
    outgoing.end(body);
  });
}
