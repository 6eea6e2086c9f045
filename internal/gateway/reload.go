package gateway

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// reloadInterval is the time between two reads of the settings, which may change
// without a signal.
const reloadInterval = time.Second

func (g *Gateway) runReloads(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			g.log.Info("SIGHUP received, reloading the settings")
			g.reload()
		case <-ticker.C:
			g.reload()
		}
	}
}

// reload applies changed settings. Changed listen addresses take effect at a
// restart.
func (g *Gateway) reload() {
	if g.options.Reload == nil {
		return
	}
	next, err := g.options.Reload()
	if err != nil {
		g.log.Warn("settings not reloaded, continuing with the current ones", "error", err)
		return
	}
	current := *g.settings.Load()
	if next.equal(current) {
		return
	}
	if next.Entry != current.Entry || next.Directory != current.Directory || next.Readiness != current.Readiness || next.Mesh != current.Mesh {
		g.log.Warn("listen addresses in the settings have changed, which takes effect at a restart")
		next.Entry, next.Directory, next.Readiness, next.Mesh = current.Entry, current.Directory, current.Readiness, current.Mesh
	}
	if next.Store != current.Store {
		g.platform.SetStore(next.Store.String())
	}
	g.settings.Store(&next)
	g.proof.SetBound(next.RevocationBound)
	g.log.Info("settings reloaded", "store", next.Store.String(), "grace_ms", next.Grace.Milliseconds())
}
