package catalog

import (
	"crypto/sha256"
	"fmt"
)

// adapterHeadroom is the number of adapters by which a generation may exceed
// the previous one without a reallocation of its adapter slice.
const adapterHeadroom = 256

// span is the index range [from, to) of a chunk's items in the contents of a
// generation.
type span struct {
	from, to int
}

// generationState is one adopted generation with the data needed to serve it to
// peers and to build the next one. It is immutable.
type generationState struct {
	head      Head
	raw       []byte
	contentID Hash
	data      map[Hash][]byte
	spans     map[Hash]span
	snapshot  *Snapshot
}

// ChunkError means that a chunk is missing or does not match its hash.
type ChunkError struct {
	Hash   Hash
	Reason string
}

// Error names the chunk.
func (e *ChunkError) Error() string {
	return fmt.Sprintf("configuration chunk %s: %s", e.Hash, e.Reason)
}

// missingChunks returns the chunks of a head that neither the head itself nor
// s holds. s may be nil.
func (s *generationState) missingChunks(h Head) []Hash {
	inline := h.inlineChunks()
	var hashes []Hash
	for _, ref := range h.Chunks {
		if _, ok := inline[ref.Hash]; ok {
			continue
		}
		if s != nil && s.data[ref.Hash] != nil {
			continue
		}
		hashes = append(hashes, ref.Hash)
	}
	return hashes
}

// assemble builds the state of a head from the previous state s, which may be
// nil, and the fetched chunks. Unchanged items are copied, not decoded.
func (s *generationState) assemble(h Head, raw []byte, fetched map[Hash][]byte) (*generationState, error) {
	next := &generationState{
		head: h, raw: raw, contentID: h.contentID(),
		data:  make(map[Hash][]byte, len(h.Chunks)),
		spans: make(map[Hash]span, len(h.Chunks)),
	}
	inline := h.inlineChunks()
	var contents Contents
	if s != nil {
		contents.Adapters = make([]Adapter, 0, len(s.snapshot.Adapters)+adapterHeadroom)
	}
	for _, ref := range h.Chunks {
		if s != nil && s.data[ref.Hash] != nil {
			next.data[ref.Hash] = s.data[ref.Hash]
			next.spans[ref.Hash] = contents.appendSpan(ref.Kind, s.snapshot.Contents, s.spans[ref.Hash])
			continue
		}
		data := inline[ref.Hash]
		if data == nil {
			data = fetched[ref.Hash]
		}
		part, err := verifyChunk(ref, data)
		if err != nil {
			return nil, err
		}
		next.data[ref.Hash] = data
		next.spans[ref.Hash] = contents.appendSpan(ref.Kind, part, span{0, part.count(ref.Kind)})
	}
	next.snapshot = NewSnapshot(h.Generation, contents)
	return next, nil
}

// verifyChunk checks a chunk's hash and decodes it.
func verifyChunk(ref ChunkRef, data []byte) (Contents, error) {
	if data == nil {
		return Contents{}, &ChunkError{Hash: ref.Hash, Reason: "missing"}
	}
	if Hash(sha256.Sum256(data)) != ref.Hash {
		return Contents{}, &ChunkError{Hash: ref.Hash, Reason: "the data has another hash"}
	}
	part, err := decodeChunk(data)
	if err != nil {
		return Contents{}, &ChunkError{Hash: ref.Hash, Reason: err.Error()}
	}
	return part, nil
}

// count returns the number of items of a kind.
func (c *Contents) count(kind Kind) int {
	switch kind {
	case KindZone:
		return len(c.Zones)
	case KindEngine:
		return len(c.Engines)
	case KindService:
		return len(c.Services)
	case KindRoute:
		return len(c.Routes)
	case KindAdapter:
		return len(c.Adapters)
	case KindProfile:
		return len(c.Profiles)
	case KindCustomer:
		return len(c.Customers)
	case KindWeightStore:
		return len(c.WeightStores)
	default:
		return 0
	}
}

// appendSpan appends a span of items of one kind and returns their new span.
func (c *Contents) appendSpan(kind Kind, from Contents, at span) span {
	start := c.count(kind)
	switch kind {
	case KindZone:
		c.Zones = append(c.Zones, from.Zones[at.from:at.to]...)
	case KindEngine:
		c.Engines = append(c.Engines, from.Engines[at.from:at.to]...)
	case KindService:
		c.Services = append(c.Services, from.Services[at.from:at.to]...)
	case KindRoute:
		c.Routes = append(c.Routes, from.Routes[at.from:at.to]...)
	case KindAdapter:
		c.Adapters = append(c.Adapters, from.Adapters[at.from:at.to]...)
	case KindProfile:
		c.Profiles = append(c.Profiles, from.Profiles[at.from:at.to]...)
	case KindCustomer:
		c.Customers = append(c.Customers, from.Customers[at.from:at.to]...)
	case KindWeightStore:
		c.WeightStores = append(c.WeightStores, from.WeightStores[at.from:at.to]...)
	}
	return span{start, c.count(kind)}
}
