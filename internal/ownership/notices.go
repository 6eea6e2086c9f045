package ownership

import (
	"context"
	"time"
)

// runEventDelivery notifies the listener of gains and losses in order, until ctx
// ends.
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
		events := m.events
		m.events = nil
		m.mu.Unlock()
		if len(events) == 0 {
			return
		}
		for _, e := range events {
			m.deliverEvent(e)
		}
	}
}

func (m *Manager) deliverEvent(e holdingEvent) {
	r := e.holding.Resource
	if e.gained {
		m.log.Info("resource acquired", "kind", r.Kind, "id", r.ID, "token", e.holding.Token)
		m.config.Listener.Gained(e.holding)
		return
	}
	m.log.Info("resource lost or released", "kind", r.Kind, "id", r.ID, "token", e.holding.Token)
	m.config.Listener.Lost(e.holding)
	m.update(func(now time.Time) { m.table.lossDelivered(now, e.holding) })
}
