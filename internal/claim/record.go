package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/fxamacker/cbor/v2"
)

// idSize is the length of an ID and a Digest in bytes.
const idSize = 16

// ID identifies a claim: the truncated SHA-256 sum of customer, route and key.
type ID [idSize]byte

// String returns the ID in hexadecimal.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}

// Digest is the truncated SHA-256 sum of a call's method, target and body.
type Digest [idSize]byte

// NewID returns the ID of a customer's key on a route.
func NewID(customer, route, key string) ID {
	return ID(hashFields([]byte(customer), []byte(route), []byte(key)))
}

// NewDigest returns the digest of a call's method, target and body.
func NewDigest(keyed call.KeyedRequest) Digest {
	return Digest(hashFields([]byte(keyed.Method), []byte(keyed.Target), keyed.Body))
}

// hashFields hashes each field with its length, so moving a byte from one field
// to the next changes the sum.
func hashFields(fields ...[]byte) [idSize]byte {
	h := sha256.New()
	for _, field := range fields {
		writeField(h, field)
	}
	return [idSize]byte(h.Sum(nil)[:idSize])
}

func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write(field)
}

// State is the state of a claim.
type State uint8

// The states of a claim. All but Claimed are final.
const (
	// Claimed means that the call may be sent by the owner that committed the claim.
	Claimed State = iota + 1
	// Released means that the call is known not to have run; the key may be
	// claimed again.
	Released
	// Uncertain means that the call was sent and may have run.
	Uncertain
	// Executed means that the call ran and its response is recorded.
	Executed
)

// Record is the stored form of a claim. Each stored record is complete and
// replaces earlier ones of the same claim.
type Record struct {
	ID ID `cbor:"1,keyasint"`
	// Seq is the sequence number of the commit that contained the claim. A
	// later claim of the same key has a greater one.
	Seq uint64 `cbor:"2,keyasint"`
	// Token is the fencing token of the owner that committed the claim.
	Token    int64  `cbor:"3,keyasint"`
	Customer string `cbor:"4,keyasint"`
	Digest   Digest `cbor:"5,keyasint"`
	// Expires is the end of retention in Unix seconds.
	Expires int64 `cbor:"6,keyasint"`
	State   State `cbor:"7,keyasint"`
	// Response is the encoded recordedResponse of a claim that is Executed.
	Response []byte `cbor:"8,keyasint,omitempty"`
}

// recordOverhead estimates the memory of a retained record without its
// variable fields, and bounds the stored size of the fixed ones, in bytes.
const recordOverhead = 256

// size estimates the size of the record in memory and in a segment, in bytes.
func (r Record) size() int64 {
	return recordOverhead + int64(len(r.Customer)+len(r.Response))
}

func (r Record) isExpired(now time.Time) bool {
	return now.Unix() >= r.Expires
}

// MaxRecordedResponseBytes bounds the recorded header and body of a response in
// bytes.
const MaxRecordedResponseBytes = 16 << 10

// recordedResponse is the stored form of a response.
type recordedResponse struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
	// Omitted is set if only the status is recorded, because the response was
	// incomplete or exceeded MaxRecordedResponseBytes.
	Omitted bool `cbor:"4,keyasint,omitempty"`
}

// encodeResponse returns the encoded recordedResponse of a response. Of an
// incomplete or too large response, only the status is recorded.
func encodeResponse(response call.KeyedResponse, whole bool) ([]byte, error) {
	if whole {
		encoded, err := cbor.Marshal(recordedResponse{Status: response.Status, Header: response.Header, Body: response.Body})
		if err == nil && len(encoded) <= MaxRecordedResponseBytes {
			return encoded, nil
		}
	}
	return cbor.Marshal(recordedResponse{Status: response.Status, Omitted: true})
}

// replay returns the response and result of a repeated call whose claim is
// Executed.
func (r Record) replay() (call.KeyedResponse, call.Result) {
	var recorded recordedResponse
	if err := cbor.Unmarshal(r.Response, &recorded); err != nil {
		return call.KeyedResponse{}, call.Failed(call.Unknown, call.CodeClaimUnknown, "the recorded answer cannot be read")
	}
	if recorded.Omitted {
		message := fmt.Sprintf("the call has run and was answered with status %d; its body was not recorded", recorded.Status)
		return call.KeyedResponse{}, call.Failed(call.Incomplete, call.CodeTooLarge, message)
	}
	response := call.KeyedResponse{Status: recorded.Status, Header: recorded.Header, Body: recorded.Body, Replayed: true}
	return response, call.Result{Outcome: call.Done}
}

// segment is the value of one segment key: the records of one commit.
type segment struct {
	Records []Record `cbor:"1,keyasint"`
}

// head is the value of a shard's head key. Every commit compares and replaces
// it, so a delayed commit cannot take effect after a later one.
type head struct {
	Seq   uint64 `cbor:"1,keyasint"`
	Nonce string `cbor:"2,keyasint"`
	Token int64  `cbor:"3,keyasint"`
	// Segments lists the sequence numbers of the live segments.
	Segments []uint64 `cbor:"4,keyasint"`
}

func decodeSegment(key string, value []byte) (segment, error) {
	var s segment
	if err := cbor.Unmarshal(value, &s); err != nil {
		return segment{}, &StorageError{Key: key, Err: err}
	}
	return s, nil
}

func decodeHead(key string, value []byte) (head, error) {
	var h head
	if err := cbor.Unmarshal(value, &h); err != nil {
		return head{}, &StorageError{Key: key, Err: err}
	}
	return h, nil
}

// StorageError reports a stored value that is missing or cannot be decoded.
type StorageError struct {
	Key string
	Err error
}

// Error names the key and the cause.
func (e *StorageError) Error() string {
	return fmt.Sprintf("claim storage key %q: %v", e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *StorageError) Unwrap() error {
	return e.Err
}
