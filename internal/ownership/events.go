package ownership

import (
	"context"
	"time"
)

// runEventDelivery tells the listener of gains and losses in order, until ctx ends.
func (m *Manager) runEventDelivery(ctx context.Context) {
	for {
		m.deliverEvents()
		select {
		case <-m.wakeDelivery:
		case <-ctx.Done():
			return
		}
	}
}

func (m *Manager) deliverEvents() {
	for {
		m.mu.Lock()
		queue := m.events
		m.events = nil
		m.mu.Unlock()
		if len(queue) == 0 {
			return
		}
		for _, n := range queue {
			m.deliverEvent(n)
		}
	}
}

func (m *Manager) deliverEvent(n holdingEvent) {
	r := n.holding.Resource
	if n.gained {
		m.log.Info("gained resource", "kind", r.Kind, "id", r.ID, "token", n.holding.Token)
		m.config.Listener.Gained(n.holding)
		return
	}
	m.log.Info("lost resource", "kind", r.Kind, "id", r.ID, "token", n.holding.Token)
	m.config.Listener.Lost(n.holding)
	m.update(func(now time.Time) { m.table.lossDelivered(now, n.holding) })
}
