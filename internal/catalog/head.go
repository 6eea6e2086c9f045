package catalog

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
)

// Keys of the configuration in the key-value service.
const (
	// HeadKey holds the head of the generation in force.
	HeadKey = "config/head"
	// ChunkPrefix is followed by a chunk's hash in hex.
	ChunkPrefix = "config/chunks/"
	// GarbageCollectionKey changes whenever unused chunks are deleted.
	GarbageCollectionKey = "config/collection"
)

const (
	// nonceBytes is the length of the random nonce that identifies one apply.
	nonceBytes = 12
	// historyLength is the number of earlier generations whose nonces a head
	// keeps, so that the outcome of an apply whose response was lost can be
	// determined even after later applies.
	historyLength = 32
	// inlineBytes bounds the total size of the chunks that are inlined in the
	// head. If the new chunks exceed it, none is inlined.
	inlineBytes = 32 << 10
	// maxChunks bounds the chunks of one head.
	maxChunks = 4096
)

// Head references the chunks of one generation. Its encoded form is the value of
// HeadKey.
type Head struct {
	Generation uint64 `cbor:"1,keyasint"`
	// Nonce identifies the apply that created the head.
	Nonce  []byte     `cbor:"2,keyasint"`
	Chunks []ChunkRef `cbor:"3,keyasint"`
	// History lists earlier generations, newest first.
	History []PastGeneration `cbor:"4,keyasint,omitempty"`
	// Inline holds the data of chunks that are new in this generation, so that
	// a daemon that has the previous one needs no further read.
	Inline [][]byte `cbor:"5,keyasint,omitempty"`
}

// PastGeneration is an earlier generation in a head's history.
type PastGeneration struct {
	_          struct{} `cbor:",toarray"`
	Generation uint64
	Nonce      []byte
}

// next returns the head of the following generation with the given chunks.
func (h Head) next(chunks []chunk) Head {
	next := Head{Generation: h.Generation + 1, Nonce: newNonce()}
	for _, c := range chunks {
		next.Chunks = append(next.Chunks, c.ref)
	}
	if added, size := h.newChunks(chunks); size <= inlineBytes {
		for _, c := range added {
			next.Inline = append(next.Inline, c.data)
		}
	}
	if h.Generation > 0 {
		next.History = append([]PastGeneration{{Generation: h.Generation, Nonce: h.Nonce}}, h.History...)
	}
	next.History = next.History[:min(len(next.History), historyLength)]
	return next
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce) // never fails, as crypto/rand documents
	return nonce
}

// hashes returns the set of chunk hashes that the head references.
func (h Head) hashes() map[Hash]bool {
	set := make(map[Hash]bool, len(h.Chunks))
	for _, ref := range h.Chunks {
		set[ref.Hash] = true
	}
	return set
}

// newChunks returns the chunks that the head does not reference and their total
// size in bytes.
func (h Head) newChunks(chunks []chunk) (added []chunk, bytes int) {
	referenced := h.hashes()
	for _, c := range chunks {
		if !referenced[c.ref.Hash] {
			added = append(added, c)
			bytes += len(c.data)
		}
	}
	return added, bytes
}

// contentID identifies the contents, regardless of generation and nonce.
func (h Head) contentID() Hash {
	sum := sha256.New()
	for _, ref := range h.Chunks {
		sum.Write(ref.Hash[:])
	}
	return Hash(sum.Sum(nil))
}

// findNonce returns the generation that the apply with the nonce created, if the
// head or its history contains the nonce.
func (h Head) findNonce(nonce []byte) (uint64, bool) {
	if bytes.Equal(h.Nonce, nonce) {
		return h.Generation, true
	}
	for _, past := range h.History {
		if bytes.Equal(past.Nonce, nonce) {
			return past.Generation, true
		}
	}
	return 0, false
}

// inlineChunks returns the chunks that are inlined in the head, by hash.
func (h Head) inlineChunks() map[Hash][]byte {
	data := make(map[Hash][]byte, len(h.Inline))
	for _, d := range h.Inline {
		data[sha256.Sum256(d)] = d
	}
	return data
}

func (h Head) encode() ([]byte, error) {
	raw, err := encMode.Marshal(h)
	if err == nil && len(raw) > maxValueBytes {
		return nil, &TooLargeError{Value: "the head", Bytes: len(raw)}
	}
	return raw, err
}

// HeadError means that the value of HeadKey is not a valid head.
type HeadError struct {
	Reason string
}

// Error describes what is wrong.
func (e *HeadError) Error() string {
	return "configuration head: " + e.Reason
}

func decodeHead(raw []byte) (Head, error) {
	var h Head
	if err := decMode.Unmarshal(raw, &h); err != nil {
		return Head{}, &HeadError{Reason: err.Error()}
	}
	if h.Generation == 0 || len(h.Nonce) == 0 {
		return Head{}, &HeadError{Reason: "no generation or nonce"}
	}
	if len(h.Chunks) > maxChunks {
		return Head{}, &HeadError{Reason: fmt.Sprintf("names %d chunks, more than %d", len(h.Chunks), maxChunks)}
	}
	return h, nil
}

func chunkKey(h Hash) string {
	return ChunkPrefix + h.String()
}
