package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/barleylift/barleylift/internal/catalog"
)

// checkReport is the JSON form of the result of check.
type checkReport struct {
	OK       bool             `json:"ok"`
	Problems catalog.Problems `json:"problems"`
	Counts   *counts          `json:"counts,omitempty"`
}

// counts holds the numbers of items in a configuration.
type counts struct {
	Zones        int `json:"zones"`
	Engines      int `json:"engines"`
	Services     int `json:"services"`
	Routes       int `json:"routes"`
	Adapters     int `json:"adapters"`
	Profiles     int `json:"profiles"`
	Customers    int `json:"customers"`
	WeightStores int `json:"weight_stores"`
}

func countItems(c catalog.Contents) *counts {
	return &counts{
		len(c.Zones), len(c.Engines), len(c.Services), len(c.Routes),
		len(c.Adapters), len(c.Profiles), len(c.Customers), len(c.WeightStores),
	}
}

// loadContents reads and validates the configuration directory.
func (c commands) loadContents() (catalog.Contents, catalog.Problems) {
	contents, problems := catalog.LoadDir(c.options.dir)
	if len(problems) > 0 {
		return contents, problems
	}
	return contents, catalog.Check(contents)
}

func (c commands) check() int {
	contents, problems := c.loadContents()
	if c.options.json {
		return c.checkJSON(contents, problems)
	}
	if len(problems) > 0 {
		return c.printProblems(problems)
	}
	n := countItems(contents)
	fmt.Fprintf(c.streams.Out, "ok: %d zones, %d engines, %d services, %d routes, %d adapters, %d profiles, %d customers, %d weight stores\n",
		n.Zones, n.Engines, n.Services, n.Routes, n.Adapters, n.Profiles, n.Customers, n.WeightStores)
	return ExitOK
}

func (c commands) checkJSON(contents catalog.Contents, problems catalog.Problems) int {
	result := checkReport{OK: len(problems) == 0, Problems: problems}
	if result.OK {
		result.Problems = catalog.Problems{}
		result.Counts = countItems(contents)
	}
	c.printJSON(result)
	if !result.OK {
		return ExitFailed
	}
	return ExitOK
}

// printProblems prints one problem per line and returns ExitFailed.
func (c commands) printProblems(problems catalog.Problems) int {
	for _, p := range problems {
		fmt.Fprintln(c.streams.Err, p)
	}
	return ExitFailed
}

func (c commands) printJSON(value any) {
	encoder := json.NewEncoder(c.streams.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(c.streams.Err, "barleylift:", err)
	}
}

// diffReport is the JSON form of the result of diff.
type diffReport struct {
	Generation uint64           `json:"generation"`
	Changes    []catalog.Change `json:"changes"`
}

func (c commands) diff(ctx context.Context) int {
	if !c.hasService() {
		return c.usage("diff: --endpoints or --settings is required")
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	after, problems := c.loadContents()
	if len(problems) > 0 {
		return c.printProblems(problems)
	}
	kv, err := c.openKV()
	if err != nil {
		return c.fail(err)
	}
	before, generation, err := catalog.ReadContents(ctx, kv)
	if err != nil {
		return c.fail(err)
	}
	changes := catalog.Diff(before, after)
	if c.options.json {
		c.printJSON(diffReport{Generation: generation, Changes: changes})
		return ExitOK
	}
	fmt.Fprintf(c.streams.Out, "generation %d is in force; %d changes\n", generation, len(changes))
	for _, change := range changes {
		fmt.Fprintln(c.streams.Out, change)
	}
	return ExitOK
}

// applyReport is the JSON form of a failed apply.
type applyReport struct {
	Error string `json:"error"`
	// Base and InForce are set on a conflict.
	Base     *uint64          `json:"base,omitempty"`
	InForce  *uint64          `json:"in_force,omitempty"`
	Problems catalog.Problems `json:"problems,omitempty"`
}

func (c commands) apply(ctx context.Context) int {
	base, ok := c.options.baseGeneration()
	if !ok {
		return c.usage("apply: --base wants a generation number")
	}
	if !c.hasService() {
		return c.usage("apply: --endpoints or --settings is required")
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout+c.options.wait)
	defer cancel()
	contents, problems := c.loadContents()
	if len(problems) > 0 {
		return c.reportApplyError(problems)
	}
	kv, err := c.openKV()
	if err != nil {
		return c.reportApplyError(err)
	}
	applier := catalog.Applier{KV: kv, RestoreWait: c.options.wait}
	if !c.options.blind {
		applier.HighestInForce = highestInForce(kv)
	}
	result, err := applier.Apply(ctx, contents, base)
	if err != nil {
		return c.reportApplyError(err)
	}
	c.printApplyResult(result)
	return ExitOK
}

func (c commands) printApplyResult(result catalog.ApplyResult) {
	switch {
	case c.options.json:
		c.printJSON(result)
	case result.Unchanged:
		fmt.Fprintf(c.streams.Out, "unchanged: generation %d is in force\n", result.Generation)
	default:
		fmt.Fprintf(c.streams.Out, "accepted: generation %d, %d chunks uploaded\n", result.Generation, result.Uploaded)
	}
}

// reportApplyError prints the error of an apply and returns the exit code.
func (c commands) reportApplyError(err error) int {
	code := ExitFailed
	result := applyReport{Error: err.Error()}
	var conflict *catalog.ConflictError
	if errors.As(err, &conflict) {
		code = ExitConflict
		result.Base, result.InForce = &conflict.Base, &conflict.InForce
	}
	var problems catalog.Problems
	isProblems := errors.As(err, &problems)
	switch {
	case c.options.json:
		result.Problems = problems
		c.printJSON(result)
	case isProblems:
		return c.printProblems(problems)
	default:
		fmt.Fprintln(c.streams.Err, "barleylift:", err)
	}
	return code
}
