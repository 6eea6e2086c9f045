package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/barleylift/barleylift/internal/origin"
)

const (
	// originQueryInterval is the time after which a question for a stream's origin is
	// repeated, and originTimeout how long the answers may take.
	originQueryInterval = 60 * time.Millisecond
	originTimeout       = 200 * time.Millisecond
)

// origins holds the origins of streams that this daemon keeps, and its questions to
// others. It is safe for concurrent use.
type origins struct {
	mu    sync.Mutex // guards the fields below; held for lookups and updates only
	table *origin.Table
	// queries holds, by request, the channels of the questions that wait for answers.
	queries map[string][]chan mesh.OriginAnswer
}

func newOrigins() *origins {
	return &origins{table: origin.NewTable(), queries: make(map[string][]chan mesh.OriginAnswer)}
}

func (o *origins) record(request, softwareVersion string, ttl time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Record(clock.Boot(), request, softwareVersion, ttl)
}

func (o *origins) find(request string) (softwareVersion string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Find(clock.Boot(), request)
}

// begin returns the channel for the answers of up to n daemons. end must be called
// with it.
func (o *origins) begin(request string, n int) chan mesh.OriginAnswer {
	answers := make(chan mesh.OriginAnswer, n)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queries[request] = append(o.queries[request], answers)
	return answers
}

func (o *origins) end(request string, answers chan mesh.OriginAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var others []chan mesh.OriginAnswer
	for _, c := range o.queries[request] {
		if c != answers {
			others = append(others, c)
		}
	}
	if o.queries[request] = others; len(others) == 0 {
		delete(o.queries, request)
	}
}

func (o *origins) answer(answer mesh.OriginAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.queries[answer.Request] {
		select {
		case c <- answer:
		default:
			// Answers to repeated questions fill the channel.
		}
	}
}

// RecordOrigin implements relay.Origins. It gives the origin to other daemons too,
// as callers come back when this one has ended.
func (g *Gateway) RecordOrigin(service, request, softwareVersion string, ttl time.Duration) {
	g.announceVersion(service, softwareVersion)
	g.origins.record(request, softwareVersion, ttl)
	names, addresses := g.liveMembers()
	packet := mesh.Packet{Origin: &mesh.Origin{Request: request, SoftwareVersion: softwareVersion, TTL: int64(ttl / time.Second)}}
	keepers := origin.Keepers(request, g.keeper.Self().Name, names)
	for _, name := range keepers {
		g.mesh.Send(addresses[name], packet)
	}
	g.archiveOrigin(request, softwareVersion, names, func(name string) {
		if !slices.Contains(keepers, name) {
			g.mesh.Send(addresses[name], packet)
		}
	})
}

// FindOrigin implements relay.Origins.
func (g *Gateway) FindOrigin(ctx context.Context, request string) (softwareVersion string, ok bool) {
	if request == "" {
		return "", false
	}
	if softwareVersion, ok = g.origins.find(request); ok {
		return softwareVersion, true
	}
	if softwareVersion, ok = g.findArchived(request); ok {
		return softwareVersion, true
	}
	names, addresses := g.liveMembers()
	asked := origin.Askable(request, g.keeper.Self().Name, names)
	answers := g.origins.begin(request, len(asked))
	defer g.origins.end(request, answers)
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	ticker := time.NewTicker(originQueryInterval)
	defer ticker.Stop()
	unknown := make(map[string]bool)
	for {
		for _, name := range asked {
			if !unknown[name] {
				g.mesh.Send(addresses[name], mesh.Packet{OriginQuery: &mesh.OriginQuery{Request: request}})
			}
		}
		for waiting := true; waiting; {
			if len(unknown) == len(asked) {
				return "", false
			}
			select {
			case answer := <-answers:
				if answer.Known {
					return answer.SoftwareVersion, true
				}
				unknown[answer.From] = true
			case <-ticker.C:
				waiting = false
			case <-ctx.Done():
				return "", false
			}
		}
	}
}

// liveMembers returns the names and mesh addresses of the members that are not
// about to end.
func (g *Gateway) liveMembers() (names []string, addresses map[string]string) {
	addresses = make(map[string]string)
	for _, m := range g.members() {
		if !m.Draining {
			names = append(names, m.Name)
			addresses[m.Name] = m.Mesh
		}
	}
	return names, addresses
}

// answerOrigin answers another daemon's question for a stream's origin.
func (g *Gateway) answerOrigin(from string, query *mesh.OriginQuery) {
	m, ok := g.keeper.Member(from)
	if !ok {
		return
	}
	softwareVersion, known := g.origins.find(query.Request)
	g.mesh.Send(m.Mesh, mesh.Packet{OriginAnswer: &mesh.OriginAnswer{Request: query.Request, SoftwareVersion: softwareVersion, Known: known}})
}
