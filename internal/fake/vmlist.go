package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/barleylift/barleylift/internal/infra"
)

// VMList is a stand-in for the platform's list of live and leaving VMs.
type VMList struct {
	mu      sync.Mutex // guards the fields below
	vms     []infra.VM
	readErr error
	reads   int
}

var _ infra.VMList = (*VMList)(nil)

// NewVMList returns an empty list.
func NewVMList() *VMList {
	return &VMList{}
}

// Set replaces the list.
func (l *VMList) Set(vms ...infra.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = slices.Clone(vms)
}

// SetError makes reads fail with the error; nil makes them succeed again.
func (l *VMList) SetError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readErr = err
}

// VMs implements infra.VMList.
func (l *VMList) VMs(context.Context) ([]infra.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	return slices.Clone(l.vms), l.readErr
}

// Reads returns the number of reads so far.
func (l *VMList) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

type vmGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Handler serves the list as Prometheus HTTP service discovery JSON.
func (l *VMList) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		vms, err := l.VMs(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		groups := make([]vmGroup, len(vms))
		for i, vm := range vms {
			groups[i].Targets = []string{vm.Address}
			groups[i].Labels = map[string]string{"zone": vm.Zone, "state": string(vm.State)}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(groups)
	})
}
