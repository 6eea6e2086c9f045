package origin

import (
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxSegmentStreams bounds the streams of one segment, of about 9 bytes each: all daemons
	// read all segments.
	maxSegmentStreams = 200
	// archivistCount is the number of daemons that write segments.
	archivistCount = 2
	// archiveKey ranks the daemons that write segments.
	archiveKey = "origins"
	// maxSegmentVersions bounds the software versions of a segment that is read.
	maxSegmentVersions = 64
)

var errSegment = errors.New("origin: the segment has too many streams or versions, or a time out of range")

// Segment holds the origins of streams that began within a moment, as written to the key-value
// service while engines of several software versions serve: origins in daemons' memories are
// lost if all daemons end at once.
type Segment struct {
	// WrittenAt is in Unix milliseconds, and TTL how long the origins hold, in seconds.
	WrittenAt int64 `cbor:"1,keyasint"`
	TTL       int64 `cbor:"2,keyasint"`
	// Streams lists, by software version, the hashes of the requests that began streams.
	Streams map[string][]uint64 `cbor:"3,keyasint"`
}

// Hash returns the hash by which a segment knows a request.
func Hash(request string) uint64 {
	return xxhash.Sum64String(request)
}

// Archivists returns the daemons that write the origins of all streams to the key-value service.
func Archivists(daemons []string) []string {
	return ranked(archiveKey, "", daemons, archivistCount)
}

// Archivist returns the one of several daemons that writes the origin of a request.
func Archivist(request string, archivists []string) (name string, ok bool) {
	if len(archivists) == 0 {
		return "", false
	}
	return archivists[Hash(request)%uint64(len(archivists))], true
}

// DecodeSegment decodes a segment.
func DecodeSegment(value []byte) (Segment, error) {
	var s Segment
	if err := cbor.Unmarshal(value, &s); err != nil {
		return Segment{}, err
	}
	streams := 0
	for _, hashes := range s.Streams {
		streams += len(hashes)
	}
	if streams > maxSegmentStreams || len(s.Streams) > maxSegmentVersions || s.TTL < 0 || s.TTL > int64(time.Hour/time.Second) || s.WrittenAt < 0 {
		return Segment{}, errSegment
	}
	return s, nil
}

// Pending holds the origins that an archivist has yet to write. It is not safe for concurrent
// use.
type Pending struct {
	streams map[string][]uint64
	count   int
	dropped int
}

// Add adds the origin of a stream. It is dropped if there are too many.
func (p *Pending) Add(request, softwareVersion string) {
	if p.count == maxSegmentStreams {
		p.dropped++
		return
	}
	if p.streams == nil {
		p.streams = make(map[string][]uint64)
	}
	hash := Hash(request)
	if !slices.Contains(p.streams[softwareVersion], hash) {
		p.streams[softwareVersion] = append(p.streams[softwareVersion], hash)
		p.count++
	}
}

// Take returns the encoded segment of the pending origins, and how many were dropped since the
// last one. It returns false if there are none.
func (p *Pending) Take(now time.Time, ttl time.Duration) (value []byte, dropped int, ok bool) {
	if p.count == 0 {
		return nil, 0, false
	}
	value, err := cbor.Marshal(Segment{WrittenAt: now.UnixMilli(), TTL: int64(ttl / time.Second), Streams: p.streams})
	if err != nil {
		panic("origin: " + err.Error()) // numbers and texts can always be encoded
	}
	dropped = p.dropped
	*p = Pending{}
	return value, dropped, true
}

// Archive holds the origins of the segments that were read. It is not safe for concurrent use.
type Archive struct {
	table *Table
}

// NewArchive returns an empty archive.
func NewArchive() *Archive {
	return &Archive{table: NewTable()}
}

// Add adds the origins of a segment that was read at now by the monotonic clock, and at wall by
// the time of day.
func (a *Archive) Add(now time.Duration, wall time.Time, s Segment) {
	ttl := time.Duration(s.TTL) * time.Second
	left := ttl - max(wall.Sub(time.UnixMilli(s.WrittenAt)), 0)
	if left <= 0 {
		return
	}
	for version, hashes := range s.Streams {
		for _, hash := range hashes {
			a.table.Record(now, hashKey(hash), version, left)
		}
	}
}

// Find returns which software version began the stream of a request, if it is known.
func (a *Archive) Find(now time.Duration, request string) (softwareVersion string, ok bool) {
	return a.table.Find(now, hashKey(Hash(request)))
}

func hashKey(hash uint64) string {
	var key [8]byte
	for i := range key {
		key[i] = byte(hash >> (8 * i))
	}
	return string(key[:])
}
