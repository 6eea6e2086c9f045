// Package quarantine finds what engines crash on, and decides which requests reach no
// engine because of that. It does no I/O.
//
// It answers two loads. Requests that share one part of their prompts, and nothing else,
// come from any caller through any daemon, and each ends the engine that begins to answer
// it; blocking what they share with sound requests, such as the first part or the caller,
// would refuse those too. And one request comes again and again, under other identifiers
// and through any daemon, and ends the engine that runs it.
//
// A key, which is a part or a request, is blocked once engines have crashed several times
// under it and have not answered it since. Only a whole answer counts: engines crash before
// the first byte of an answer or after any event. A part must have been there with several
// sessions; a request's crashes count separately if it was sent to the engine after the
// crash before, and fewer suffice if no other request was there. Crashes at one instant,
// as of a rack, count once otherwise, and a crash that a blocked key explains does not
// count against others. Where many engines end at one instant, only what was at most of them
// counts.
//
// Sound requests are at the same crashes as the cause, and share parts with it. What engines
// have answered in the last minutes is blocked after more crashes, and only if nothing
// without an answer explains them. Keys that still can't be told apart are all blocked, and
// requests with one of them show soon which is the cause.
//
// Table.Suspected and Table.Recall carry the crashes under a part that isn't blocked yet over
// the end of all daemons; the caller stores them, as it stores the blocks.
package quarantine
