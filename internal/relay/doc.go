// Package relay carries a caller's request to an upstream and the answer back.
// It owns a request from the reading of its body to the last byte of its
// answer: which upstream it is sent to, whether it may be sent again, and what
// the caller is told.
//
// What it keeps to: the bytes of an answer are those of one upstream, for this
// request; an answer that ends early never looks complete; a request that is
// not idempotent is sent again only if it surely did not run; a refusal that
// promises "not run" is given only then; repeated sends stay within a budget
// that each daemon holds by itself; and a request that can't be served is
// refused at once.
package relay
