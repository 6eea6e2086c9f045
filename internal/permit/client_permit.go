package permit

import (
	"context"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/owner"
)

// clientPermit is a permit that this daemon holds. Until it is released, one
// goroutine renews it and registers it at the successor when its granter is
// lost.
type clientPermit struct {
	client      *Client
	request     owner.PermitRequest
	releaseOnce sync.Once
	released    chan struct{}
	done        chan struct{}
}

// hold starts to renew a granted permit.
func (c *Client) hold(r owner.PermitRequest, reg registration) *clientPermit {
	p := &clientPermit{client: c, request: r, released: make(chan struct{}), done: make(chan struct{})}
	go p.run(reg)
	return p
}

// Release ends the permit and returns when its registration has ended.
func (p *clientPermit) Release() {
	p.releaseOnce.Do(func() { close(p.released) })
	<-p.done
}

func (p *clientPermit) run(reg registration) {
	defer close(p.done)
	renew := time.NewTicker(renewInterval)
	defer renew.Stop()
	for reg != nil {
		select {
		case <-p.released:
			reg.end()
			return
		case <-reg.lost():
			reg.end()
			reg = p.registerAtSuccessor()
		case <-renew.C:
			reg.renew(p.request.Pressure)
		}
	}
}

// registerAtSuccessor registers the permit as held at the next granter. It
// returns nil if the permit is released before one is reachable.
func (p *clientPermit) registerAtSuccessor() registration {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-p.released:
			cancel()
		case <-ctx.Done():
		}
	}()
	for {
		if !clock.Sleep(ctx, retryInterval) {
			return nil
		}
		if reg := p.client.registerAtOwner(ctx, p.request, true); reg != nil {
			return reg
		}
	}
}
