package metrics

import (
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxQuotaCustomers bounds the customers that have series of their own.
	maxQuotaCustomers = 63
	// otherCustomers is the label of all others together.
	otherCustomers = "other"
)

// quotaWaitBuckets are those of the wait for tokens, in seconds.
var quotaWaitBuckets = []float64{0.001, 0.003, 0.01, 0.03, 0.06, 0.1, 0.2, 0.3}

// Quotas holds the collectors of customers' quotas. The values of the label customer are the
// names of the first configured customers, and "other".
type Quotas struct {
	admitted  *prometheus.CounterVec
	overQuota *prometheus.CounterVec
	undecided *prometheus.CounterVec
	wait      *prometheus.HistogramVec

	mu    sync.Mutex // guards named
	named []string
}

// newQuotas creates the collectors and registers them with the registerer.
func newQuotas(registerer prometheus.Registerer) *Quotas {
	q := &Quotas{
		admitted:  counter("quota_tokens_total", "Tokens of admitted requests, by customer.", "customer"),
		overQuota: counter("requests_over_quota_total", "Requests refused as their customer is over its quota.", "customer"),
		undecided: counter("quota_undecided_total", "Requests refused as no coordinator said in time whether the customer has room.", "customer"),
		wait:      histogram("quota_wait_seconds", "Time that a request waited for tokens.", quotaWaitBuckets, "customer"),
	}
	registerer.MustRegister(q.admitted, q.overQuota, q.undecided, q.wait)
	return q
}

// SetCustomers replaces the customers. The series of those that are gone end.
func (q *Quotas) SetCustomers(names []string) {
	named := slices.Clone(names[:min(len(names), maxQuotaCustomers)])
	q.mu.Lock()
	former := q.named
	q.named = named
	q.mu.Unlock()
	for _, name := range former {
		if !slices.Contains(named, name) {
			q.admitted.DeleteLabelValues(name)
			q.overQuota.DeleteLabelValues(name)
			q.undecided.DeleteLabelValues(name)
			q.wait.DeleteLabelValues(name)
		}
	}
}

func (q *Quotas) label(customer string) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if slices.Contains(q.named, customer) {
		return customer
	}
	return otherCustomers
}

// Admitted counts the tokens of an admitted request.
func (q *Quotas) Admitted(customer string, tokens int64) {
	q.admitted.WithLabelValues(q.label(customer)).Add(float64(tokens))
}

// OverQuota counts a request that was refused as its customer is over its quota.
func (q *Quotas) OverQuota(customer string) {
	q.overQuota.WithLabelValues(q.label(customer)).Inc()
}

// Undecided counts a request that was refused as it is not known whether there is room.
func (q *Quotas) Undecided(customer string) {
	q.undecided.WithLabelValues(q.label(customer)).Inc()
}

// Wait records how long a request waited for tokens.
func (q *Quotas) Wait(customer string, took time.Duration) {
	q.wait.WithLabelValues(q.label(customer)).Observe(took.Seconds())
}
