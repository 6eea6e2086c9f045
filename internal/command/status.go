package command

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/barleylift/barleylift/internal/catalog"
)

// statusReport is the JSON form of the result of status.
type statusReport struct {
	// Generation is the generation in the key-value service; 0 if there is none.
	Generation uint64         `json:"generation"`
	Daemons    []daemonReport `json:"daemons"`
}

// status prints the status of every daemon. It fails if one does not respond.
func (c commands) status(ctx context.Context) int {
	if !c.hasService() {
		return c.usage("status: --endpoints or --settings is required")
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	kv, err := c.openKV()
	if err != nil {
		return c.fail(err)
	}
	head, _, err := catalog.ReadHead(ctx, kv)
	if err != nil {
		return c.fail(err)
	}
	members, err := readMembers(ctx, kv)
	if err != nil {
		return c.fail(err)
	}
	result := statusReport{Generation: head.Generation, Daemons: fetchReports(ctx, members)}
	if c.options.json {
		c.printJSON(result)
	} else {
		c.printStatus(result)
	}
	return statusExitCode(result)
}

func statusExitCode(result statusReport) int {
	for _, r := range result.Daemons {
		if r.Daemon == nil {
			return ExitFailed
		}
	}
	return ExitOK
}

func (c commands) printStatus(result statusReport) {
	fmt.Fprintf(c.streams.Out, "generation %d in the key-value service, %d daemons\n", result.Generation, len(result.Daemons))
	table := tabwriter.NewWriter(c.streams.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tZONE\tGENERATION\tSTATE\tENGINES\tCLAIM SHARDS")
	for _, r := range result.Daemons {
		if r.Daemon == nil {
			fmt.Fprintf(table, "%s\t%s\t-\tno answer: %s\t-\t-\n", r.Member.Name, r.Member.Zone, r.Error)
			continue
		}
		d := r.Daemon
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%d\n", d.Name, d.Zone, d.Generation, stateOf(r), len(d.Engines), len(d.ClaimShards))
	}
	// The writer is the process's standard output, so there is nowhere to report
	// a failure.
	_ = table.Flush()
}

func stateOf(r daemonReport) string {
	switch {
	case !r.Daemon.Fresh:
		return "stale"
	case r.Daemon.Leaving:
		return "leaving"
	default:
		return "serving"
	}
}
