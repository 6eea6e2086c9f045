package owner

import (
	"context"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/engine"
	"github.com/barleylift/barleylift/internal/upstream"
)

// raiseFence makes the engine refuse what predecessors send from now on. The
// caller holds t.mu.
func (t *tenure) raiseFence() {
	if t.raisingFence || t.ended || !t.agg.NeedsFence() {
		return
	}
	t.raisingFence = true
	t.task(false, func(ctx context.Context) {
		result := t.client.RaiseFence(ctx, int64(t.token))
		t.mu.Lock()
		defer t.mu.Unlock()
		t.raisingFence = false
		switch result.Status {
		case upstream.OrderConfirmed:
			t.agg.RecordFence(result.BootID, time.Now())
			t.readReport()
		case upstream.OrderFenced:
			t.handleFenced()
		}
	})
}

// readReport submits a task that reads the engine's report, unless one is
// pending. The caller holds t.mu.
func (t *tenure) readReport() {
	if t.polling {
		return
	}
	t.polling = true
	t.pollCount++
	poll := t.pollCount
	t.task(false, func(ctx context.Context) {
		report, err := t.client.Report(ctx)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.polling = false
		if err != nil {
			t.log.Debug("reading the engine's report failed", "error", err)
			return
		}
		t.applyReport(poll, report)
	})
}

// applyReport applies a report to the aggregate. The caller holds t.mu.
func (t *tenure) applyReport(poll uint64, report upstream.EngineReport) {
	now := time.Now()
	if t.agg.Apply(engineReport(poll, report), now) {
		t.log.Warn("engine restarted", "boot", report.BootID)
		t.raiseFence()
	}
	if t.spec.MaxRunning > 0 && report.Running > 0 {
		t.pool.config.Metrics.BatchFill(t.name, float64(report.Running)/float64(t.spec.MaxRunning))
	}
	t.schedule(now)
}

// engineReport converts a report. It drops the base model and other models that
// no call can name.
func engineReport(poll uint64, report upstream.EngineReport) engine.Report {
	result := engine.Report{
		Poll:      poll,
		BootID:    report.BootID,
		Sequence:  report.Sequence,
		NotBefore: report.CreatedNotBefore,
		Running:   make(map[string]call.AdapterRef, len(report.Requests)),
	}
	for _, request := range report.Requests {
		if ref, err := call.ParseAdapterRef(request.Model); err == nil {
			result.Running[request.ID] = ref
		}
	}
	for _, model := range report.Resident {
		if ref, err := call.ParseAdapterRef(model); err == nil {
			result.Resident = append(result.Resident, ref)
		}
	}
	return result
}
