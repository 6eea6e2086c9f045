package daemon

import (
	"context"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
)

// leavingVMs is the set of addresses of leaving VMs.
type leavingVMs struct {
	addresses atomic.Pointer[map[string]bool]
}

func newLeavingVMs() *leavingVMs {
	l := &leavingVMs{}
	l.addresses.Store(&map[string]bool{})
	return l
}

func (l *leavingVMs) set(vms []infra.VM) {
	addresses := make(map[string]bool)
	for _, vm := range vms {
		if vm.State == infra.VMLeaving {
			addresses[vm.Address] = true
		}
	}
	l.addresses.Store(&addresses)
}

// has reports whether the VM with the base URL is leaving.
func (l *leavingVMs) has(baseURL string) bool {
	leaving := *l.addresses.Load()
	if len(leaving) == 0 {
		return false
	}
	u, err := url.Parse(baseURL)
	return err == nil && leaving[u.Host]
}

// pollVMs polls the VM list until ctx ends. After a failed read the last list
// stays in use.
func (d *Daemon) pollVMs(ctx context.Context) error {
	ticker := time.NewTicker(d.settings.VMList.PollInterval)
	defer ticker.Stop()
	for {
		d.readVMs(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Daemon) readVMs(ctx context.Context) {
	vms, err := d.vmList.VMs(ctx)
	if err != nil {
		d.log.Debug("could not read the VM list; keeping the last one", "error", err)
		return
	}
	d.leavingVMs.set(vms)
	if d.store.Current() == nil {
		return
	}
	d.owners.ApplyVMs(vms)
	d.services.ApplyVMs(vms)
}
