package cost

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Constants of the record of prompts.
const (
	// keptFor is how long after a send an engine is assumed to keep a prompt's parts.
	keptFor = 30 * time.Second
	// maxKept bounds the parts that are remembered of one engine.
	maxKept = 256
	// maxLinks bounds the parts of one prompt that are looked at: shared ones come first.
	maxLinks = 32
)

// Part is a part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Link identifies a part of a prompt together with all parts before it and the adapter: an
// engine has the state of a part only behind the same beginning.
type Link struct {
	id     uint64
	tokens int
}

// Links returns the links of a prompt for an adapter. Parts without tokens are left out.
func Links(adapter string, parts []Part) []Link {
	links := make([]Link, 0, min(len(parts), maxLinks))
	last := xxhash.Sum64String(adapter)
	var buffer [16]byte
	for _, part := range parts {
		if part.Tokens <= 0 {
			continue
		}
		if len(links) == maxLinks {
			break
		}
		binary.LittleEndian.PutUint64(buffer[:8], last)
		binary.LittleEndian.PutUint64(buffer[8:], part.ID)
		last = xxhash.Sum64(buffer[:])
		links = append(links, Link{last, part.Tokens})
	}
	return links
}

// Prompts remembers the parts of prompts that were sent to one engine's process lately. The
// zero value remembers none. It is not safe for concurrent use.
type Prompts struct {
	sentAt map[uint64]time.Duration
	// order holds the keys of sentAt, the one that was added first at next if it is full.
	order []uint64
	next  int
}

// Unread returns the number of tokens of a prompt that the engine still has to prefill.
func (p *Prompts) Unread(now time.Duration, promptTokens int, links []Link) int {
	for _, link := range links {
		sentAt, ok := p.sentAt[link.id]
		if !ok || now-sentAt > keptFor {
			break
		}
		promptTokens -= link.tokens
	}
	// The last token is always read: its result is the first token of the output.
	return max(promptTokens, 1)
}

// RecordSent records that a prompt is sent to the engine.
func (p *Prompts) RecordSent(now time.Duration, links []Link) {
	for _, link := range links {
		if _, known := p.sentAt[link.id]; !known {
			p.add(link.id)
		}
		p.sentAt[link.id] = now
	}
}

func (p *Prompts) add(id uint64) {
	if p.sentAt == nil {
		p.sentAt = make(map[uint64]time.Duration)
	}
	if len(p.order) < maxKept {
		p.order = append(p.order, id)
		return
	}
	delete(p.sentAt, p.order[p.next])
	p.order[p.next] = id
	p.next = (p.next + 1) % maxKept
}
