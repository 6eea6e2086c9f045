package entry

import (
	"net/http"
	"time"
)

// defaultTolerance applies to profiles that state no delay tolerance.
const defaultTolerance = 10 * time.Second

// serveModel serves one model call.
func (h *Handler) serveModel(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	customer, prof, refused := Authenticate(h.cfg.Snapshot(), r)
	if refused.Outcome != "" {
		h.refuse(w, customer.Name, prof.Name, refused)
		return
	}
	m, refused := h.readModel(w, r, customer, prof)
	if refused.Outcome != "" {
		h.refuse(w, customer.Name, prof.Name, refused)
		return
	}
	reservation, refused, ok := h.cfg.Limiter.Acquire(arrived, customer.Name, prof)
	if !ok {
		h.refuse(w, customer.Name, prof.Name, refused)
		return
	}
	defer reservation.Release()
	writer := newResponseSink(w, m, h.cfg.Metrics, arrived)
	result := h.runModel(r.Context(), m, deadlineOf(arrived, prof.DelayTolerance), writer)
	reservation.Charge(time.Now(), writer.tokens)
	h.cfg.Metrics.Outcome(customer.Name, prof.Name, string(result.Outcome), string(result.Code))
	writer.finish(result)
}

func deadlineOf(arrived time.Time, tolerance time.Duration) time.Time {
	if tolerance <= 0 {
		tolerance = defaultTolerance
	}
	return arrived.Add(tolerance)
}
