package metrics

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// The series of customers must stay bounded, however many are configured, and those of customers
// that are gone must end: each takes memory for as long as the daemon runs.
func TestSeriesOfCustomersAreBounded(t *testing.T) {
	registry := prometheus.NewRegistry()
	q := newQuotas(registry)
	count := func() int {
		families, err := registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, family := range families {
			if family.GetName() == namespace+"_quota_tokens_total" {
				return len(family.GetMetric())
			}
		}
		return 0
	}
	for generation := range 3 {
		var names []string
		for i := range 100 {
			names = append(names, fmt.Sprint("customer-", generation, "-", i))
		}
		q.SetCustomers(names)
		for _, name := range append(names, "not configured") {
			q.Admitted(name, 1)
		}
		if n := count(); n != maxQuotaCustomers+1 {
			t.Errorf("%d series in generation %d, want %d", n, generation, maxQuotaCustomers+1)
		}
	}
}
