package catalog

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/barleylift/barleylift/internal/profile"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// maxValueBytes bounds a chunk or head, below the key-value service's limit of
// 1 MB.
const maxValueBytes = 900 << 10

// bucketCount returns the number of chunks that the items of a kind are
// distributed over by the hash of their names. A change uploads one chunk and
// the head, which lists all chunks, so the bytes per change are lowest when the
// chunk and the head are of similar size.
func (k Kind) bucketCount() uint64 {
	switch k {
	case KindAdapter:
		return 128
	case KindEngine, KindCustomer:
		return 32
	case KindService, KindRoute, KindProfile:
		return 8
	default:
		return 1
	}
}

// Hash is the SHA-256 sum of an encoded chunk, which also identifies the chunk.
type Hash [sha256.Size]byte

// String returns the sum in hex.
func (h Hash) String() string {
	return hex.EncodeToString(h[:])
}

// ChunkRef references one chunk in a head.
type ChunkRef struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	Bucket uint16
	Hash   Hash
}

// chunk holds the items of one kind and bucket in encoded form.
type chunk struct {
	ref  ChunkRef
	data []byte
}

// TooLargeError means that one chunk or the head exceeds the size limit of a
// value in the key-value service.
type TooLargeError struct {
	// Value describes the chunk or the head.
	Value string
	Bytes int
}

// Error describes the value and its size.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s takes %d bytes, more than the %d that a value may hold", e.Value, e.Bytes, maxValueBytes)
}

var (
	encMode = must(cbor.CoreDetEncOptions().EncMode())
	decMode = must(cbor.DecOptions{MaxArrayElements: 1 << 20}.DecMode())
)

// must returns v and panics on an error, which cannot occur with constant options.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// split encodes contents as chunks, ordered by kind and bucket. The same items
// give the same chunks regardless of the order of their declarations.
func split(contents Contents) ([]chunk, error) {
	s := splitter{}
	splitKind(&s, KindZone, contents.Zones, func(z Zone) string { return z.Name }, func(c *Contents) *[]Zone { return &c.Zones })
	splitKind(&s, KindEngine, contents.Engines, func(e Engine) string { return e.Name }, func(c *Contents) *[]Engine { return &c.Engines })
	splitKind(&s, KindService, contents.Services, func(v Service) string { return v.Name }, func(c *Contents) *[]Service { return &c.Services })
	splitKind(&s, KindRoute, contents.Routes, func(r Route) string { return r.Name }, func(c *Contents) *[]Route { return &c.Routes })
	splitKind(&s, KindAdapter, contents.Adapters, func(a Adapter) string { return a.Name }, func(c *Contents) *[]Adapter { return &c.Adapters })
	splitKind(&s, KindProfile, contents.Profiles, func(p profile.Profile) string { return p.Name }, func(c *Contents) *[]profile.Profile { return &c.Profiles })
	splitKind(&s, KindCustomer, contents.Customers, func(c Customer) string { return c.Name }, func(c *Contents) *[]Customer { return &c.Customers })
	splitKind(&s, KindWeightStore, contents.WeightStores, func(w WeightStore) string { return w.Name }, func(c *Contents) *[]WeightStore { return &c.WeightStores })
	return s.chunks, s.err
}

// splitter collects chunks until the first error.
type splitter struct {
	chunks []chunk
	err    error
}

func splitKind[T any](s *splitter, kind Kind, items []T, name func(T) string, itemsOf func(*Contents) *[]T) {
	buckets := make([][]T, kind.bucketCount())
	for _, item := range items {
		b := xxhash.Sum64String(name(item)) % kind.bucketCount()
		buckets[b] = append(buckets[b], item)
	}
	for number, bucket := range buckets {
		if len(bucket) == 0 {
			continue
		}
		slices.SortFunc(bucket, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
		var contents Contents
		*itemsOf(&contents) = bucket
		s.add(kind, number, contents)
	}
}

func (s *splitter) add(kind Kind, bucket int, contents Contents) {
	if s.err != nil {
		return
	}
	data, err := encMode.Marshal(contents)
	if err != nil {
		s.err = err
		return
	}
	if len(data) > maxValueBytes {
		s.err = &TooLargeError{Value: fmt.Sprintf("chunk %d of kind %s", bucket, kind), Bytes: len(data)}
		return
	}
	ref := ChunkRef{Kind: kind, Bucket: uint16(bucket), Hash: sha256.Sum256(data)}
	s.chunks = append(s.chunks, chunk{ref, data})
}

// decodeChunk decodes a chunk and interns its repeated strings to save memory.
func decodeChunk(data []byte) (Contents, error) {
	var contents Contents
	if err := decMode.Unmarshal(data, &contents); err != nil {
		return Contents{}, err
	}
	shared := make(map[string]string)
	for i := range contents.Adapters {
		a := &contents.Adapters[i]
		a.BaseModel = intern(shared, a.BaseModel)
		for j, v := range a.Versions {
			a.Versions[j] = intern(shared, v)
		}
	}
	return contents, nil
}

func intern(shared map[string]string, text string) string {
	if interned, ok := shared[text]; ok {
		return interned
	}
	shared[text] = text
	return text
}
