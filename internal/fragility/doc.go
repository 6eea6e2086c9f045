// Package fragility decides how an upstream is spared that falls over when it has to refuse
// too many requests in a second for want of room. It does no I/O.
//
// It answers this load: for some time the upstreams of a service have less room than before,
// which shows only when they refuse, and each refusal counts, whichever VM sent the request.
// So each VM has no more requests there than its share of what the upstream runs at once, and one
// refusal keeps all VMs from it for a moment.
package fragility
