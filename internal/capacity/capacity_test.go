package capacity

import (
	"flag"
	"math"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the blocks of docs/CAPACITY.md")

const pagePath = "../../docs/CAPACITY.md"

func TestPage(t *testing.T) {
	page, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	want, err := UpdateBlocks(string(page))
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(pagePath, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if string(page) != want {
		t.Error("docs/CAPACITY.md is not current; run go test ./internal/capacity -run TestPage -update")
	}
}

// TestEveryExceededLimitHasRemedy checks that each value on the page is within its
// limit or has a remedy.
func TestEveryExceededLimitHasRemedy(t *testing.T) {
	for _, table := range Tables() {
		for _, row := range table.Rows {
			if math.IsNaN(row.Value) || math.IsInf(row.Value, 0) || row.Value <= 0 || row.Mechanism == "" {
				t.Errorf("%s: %s: value %v, mechanism %q", table.Name, row.Name, row.Value, row.Mechanism)
			}
			if row.HasLimit && row.Value > row.Limit && row.Remedy == "" {
				t.Errorf("%s: %s: %v exceeds the limit %v and has no remedy", table.Name, row.Name, row.Value, row.Limit)
			}
		}
	}
}

func TestSeries(t *testing.T) {
	exact := Series{Sizes: []float64{1, 2, 3, 5}, Values: []float64{5, 7, 9, 13}}
	if fit := exact.Fit(); math.Abs(fit.Slope-2) > 1e-9 || math.Abs(fit.Intercept-3) > 1e-9 || math.Abs(fit.R2-1) > 1e-9 {
		t.Errorf("fit %+v", fit)
	}
	for _, series := range AllSeries {
		if len(series.Sizes) < 4 || len(series.Sizes) != len(series.Values) || series.Command == "" {
			t.Errorf("%s: %d sizes, %d values, command %q", series.Name, len(series.Sizes), len(series.Values), series.Command)
		}
	}
}
