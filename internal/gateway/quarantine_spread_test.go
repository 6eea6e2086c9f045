package gateway

import (
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/quarantine"
	"github.com/barleylift/barleylift/internal/topology"
)

// Without the earlier answers that the reporting daemon has seen, others would block what sound
// requests share with crashing ones.
func TestCrashReportTellsEarlierAnswersOnItsParts(t *testing.T) {
	now := clock.Boot()
	shared, crashing := topology.PromptPart(0xa0), topology.PromptPart(0xbad)
	table := quarantine.NewTable()
	for n := range 3 {
		crash := quarantine.Crash{
			Process: quarantine.Process{ID: "lm", Incarnation: int64(1 + n)}, At: now - time.Duration(3-n)*time.Second, SentAt: now - time.Minute,
			Suspects: []quarantine.Suspect{{Source: topology.PromptPart(100 + n), Parts: []topology.PromptPart{shared, crashing}}},
		}
		if n == 0 {
			crash.Answered = []quarantine.Answered{{Key: quarantine.PartKey(shared), At: now - time.Minute}}
		}
		table.RecordCrash(now, crashOf(crashMessage(crash)))
	}
	if blocks := table.Blocks(); len(blocks) != 1 || blocks[0].Key != quarantine.PartKey(crashing) {
		t.Errorf("blocked %v, want the part without an answer alone", blocks)
	}
}
