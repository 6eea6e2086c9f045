// Package queue orders the calls that wait at one engine: urgency bands,
// weighted fairness between customers within a band, and early refusal of
// calls whose expected wait exceeds their delay tolerance. It does no I/O.
//
// Within a band each customer has a virtual token counter: the tokens that it
// was charged divided by its weight. The customer with the lowest counter is
// served first (Sheng et al., "Fairness in Serving Large Language Models", OSDI
// 2024). When a customer starts to wait, its counter is raised to the band's
// virtual time, so that an idle period earns no credit with which it could
// starve others.
//
// A Queue is not safe for concurrent use; the caller locks it.
package queue
