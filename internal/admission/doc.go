// Package admission decides at which pace and in which order requests begin
// at one engine. It does no I/O and takes the time as a parameter.
//
// The load that it answers: prompts of very different size arrive in clumps at
// an engine that reads them between the tokens of all running streams. Prompts
// that begin together stretch the pauses of every stream on the engine beyond
// their objective, while the same prompts one after the other still meet
// theirs. So the daemon that orders an engine hands out the turns to begin: as
// many prompts at once as fit into a share of the objective for pauses, and
// the next ones some steps after the first events of all of them.
package admission
