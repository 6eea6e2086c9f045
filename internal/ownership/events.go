package ownership

import (
	"context"
	"time"
)

// runNotices tells the listener of gains and losses in order, until ctx ends.
func (m *Manager) runNotices(ctx context.Context) {
	for {
		m.deliverNotices()
		select {
		case <-m.notify:
		case <-ctx.Done():
			return
		}
	}
}

func (m *Manager) deliverNotices() {
	for {
		m.mu.Lock()
		queue := m.queue
		m.queue = nil
		m.mu.Unlock()
		if len(queue) == 0 {
			return
		}
		for _, n := range queue {
			m.deliver(n)
		}
	}
}

func (m *Manager) deliver(n notice) {
	r := n.holding.Resource
	if n.gained {
		m.log.Info("gained resource", "kind", r.Kind, "id", r.ID, "token", n.holding.Token)
		m.config.Listener.Gained(n.holding)
		return
	}
	m.log.Info("lost resource", "kind", r.Kind, "id", r.ID, "token", n.holding.Token)
	m.config.Listener.Lost(n.holding)
	m.update(func(now time.Time) { m.table.lostDelivered(now, n.holding) })
}
