// Package admission decides when and in which order requests begin at one
// engine. It does no I/O and takes the time as a parameter.
//
// Prompts of very different sizes arrive in bursts at an engine that prefills
// them between the decoding steps of all running streams. Prompts prefilled
// together stretch the pauses between events of every stream on the engine
// beyond their objective, while the same prompts one after the other still meet
// theirs. So the engine's owner admits as many prompts at once as fit into a
// share of the pause objective, and the next ones when these are prefilled and
// the streams have had the steps of an event. It computes the time that prompts
// occupy the engine from a learned model, and does not wait for first events;
// what it has admitted without a report of one is bounded.
package admission
