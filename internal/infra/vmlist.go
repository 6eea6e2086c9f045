package infra

import "context"

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list, which lags behind the actual state.
type VM struct {
	// Address is host:port of the upstream or daemon on the VM.
	Address string
	Zone    string
	State   VMState
}

// VMList reads the platform's list of live and leaving VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}
