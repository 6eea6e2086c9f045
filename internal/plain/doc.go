// Package plain serves the routes to plain services: it authenticates callers,
// forwards their calls as each route allows, and reports the outcome.
//
// Calls of repeatable routes are streamed, and retried within the profile's
// delay tolerance and a retry budget. Other calls are sent at most once: those
// with an idempotency key by the owner of the key's claim shard, those without
// a key directly.
package plain
