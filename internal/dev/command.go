package dev

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"
)

// startTimeout bounds the start of the cluster.
const startTimeout = 30 * time.Second

// Run starts a cluster, prints the entries' addresses and, unless quiet, example
// calls. When ctx ends it drains all daemons.
func Run(ctx context.Context, listen string, quiet bool, out io.Writer) error {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c, err := Start(startCtx, Options{Listen: listen, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return err
	}
	defer c.stopStandIns()
	c.SetVMs()
	for _, d := range c.Daemons {
		fmt.Fprintln(out, d.EntryAddress())
	}
	if !quiet {
		c.printUsage(out)
	}
	<-ctx.Done()
	return c.drain(context.WithoutCancel(ctx))
}

func (c *Cluster) drain(ctx context.Context) error {
	var group errgroup.Group
	for _, d := range c.Daemons {
		group.Go(func() error { return d.Drain(ctx) })
	}
	return group.Wait()
}

func (c *Cluster) stopStandIns() {
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// printUsage prints example calls that can be pasted into a shell.
func (c *Cluster) printUsage(out io.Writer) {
	address := c.Daemons[0].EntryAddress()
	fmt.Fprintf(out, `
token: %[2]s
metrics: http://%[3]s/metrics

A streamed completion on a cold adapter:
  curl -sN http://%[1]s/v1/completions -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' -d '{"model":"summary-00@v1","prompt":"Blue wall, 7a","max_tokens":16,"stream":true}'

A tick that takes effect once, however often it is sent:
  curl -si http://%[1]s/logbook/kaloor/ticks -H 'Authorization: Bearer %[2]s' -H '%[4]s: tick-1' -d '{"route":"blue-7a"}'

Which addresses to use:
  curl -s 'http://%[1]s/v1/entries?zone=vyttila'
`, address, Token, c.Daemons[0].AdminAddress(), KeyHeader)
}
