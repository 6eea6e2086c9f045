// Package dissemination shares typed entries between daemons.
//
// Router maps kinds of entries to handlers and packs entries into datagrams:
//
//	router.Handle(kind, func(from Sender, body []byte) error)   // an error means a malformed body
//	router.Send(vm, entries...)                                 // at once; to the own VM without a datagram
//	router.ProduceRequests(kind, func(to Coordinator) []mesh.Entry)
//	router.ProduceReplies(kind, func(to Sender) []mesh.Entry)
//	router.AddNeed(func() bool)                                 // exchanges run while a need holds
//	NewEntry(kind, message), Decode[T](body)                    // CBOR
//
// Handlers and producers are registered before the first datagram is received. They are
// called from several goroutines and must not block. Entries may be lost, repeated, late and
// out of order. The entries of an exchange are packed in the order of their kinds.
//
// Coordinators decides without I/O who the coordinators are and who is asked when:
//
//	coordinators.Of(group) (Coordinator, bool)   // VM, incarnation, mesh address
//
// A daemon may be its own coordinator: its exchange with itself makes no datagrams, and its
// entries reach its own handlers.
package dissemination
