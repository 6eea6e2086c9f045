// Package etcdjson defines the messages of the published etcd v3 JSON gateway
// that barleylift uses. Keys and values are encoded as base64, 64-bit integers
// as strings, and fields with their zero value may be omitted.
package etcdjson

// The paths of the gateway's calls; the method is always POST.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// Header holds the service's revision at the time of a response.
type Header struct {
	Revision int64 `json:"revision,omitempty,string"`
}

// KeyValue is one key with its value and revisions.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	Lease          int64  `json:"lease,omitempty,string"`
}

// RangeRequest reads one key, or the keys from Key up to RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse holds the keys that were read.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,omitempty,string"`
}

// DeleteRangeRequest deletes one key, or the keys from Key up to RangeEnd.
type DeleteRangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest       `json:"request_range,omitempty"`
	Put    *PutRequest         `json:"request_put,omitempty"`
	Delete *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// The results and targets of a comparison.
const (
	ResultEqual  = "EQUAL"
	TargetCreate = "CREATE"
	TargetMod    = "MOD"
	TargetValue  = "VALUE"
)

// Compare is one condition of a transaction. The field that Target names is set.
type Compare struct {
	Result         string `json:"result,omitempty"`
	Target         string `json:"target,omitempty"`
	Key            []byte `json:"key,omitempty"`
	CreateRevision *int64 `json:"create_revision,omitempty,string"`
	ModRevision    *int64 `json:"mod_revision,omitempty,string"`
	Value          []byte `json:"value,omitempty"`
}

// TxnRequest is a transaction.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the result of one operation of a transaction.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse is the result of a transaction.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseRequest grants a lease (TTL, in seconds), renews it or revokes it (ID).
type LeaseRequest struct {
	ID  int64 `json:"ID,omitempty,string"`
	TTL int64 `json:"TTL,omitempty,string"`
}

// LeaseResponse holds a lease and its time to live in seconds. A TTL of 0 in
// the response to a renewal means that the lease has ended.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,omitempty,string"`
	TTL    int64  `json:"TTL,omitempty,string"`
}

// LeaseStream is one message of the response stream of a renewal.
type LeaseStream struct {
	Result LeaseResponse `json:"result"`
	Error  *Error        `json:"error,omitempty"`
}

// WatchCreate requests the changes of keys from Key up to RangeEnd.
type WatchCreate struct {
	Key            []byte `json:"key,omitempty"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,omitempty,string"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create *WatchCreate `json:"create_request,omitempty"`
}

// EventDelete is the type of an event that deleted a key; other events omit the type.
const EventDelete = "DELETE"

// Event is one change of a key.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResponse is one batch of changes, or a progress notification without
// changes.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,omitempty,string"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchStream is one message of the response stream of a watch.
type WatchStream struct {
	Result WatchResponse `json:"result"`
	Error  *Error        `json:"error,omitempty"`
}

// The gRPC status codes that the gateway reports in an Error.
const (
	CodeInvalidArgument    = 3
	CodeNotFound           = 5
	CodeResourceExhausted  = 8
	CodeFailedPrecondition = 9
	CodeOutOfRange         = 11
	CodeUnavailable        = 14
)

// Error is the body of a failed call, and the error in a stream's message.
type Error struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// PrefixEnd returns the range end that covers all keys with the prefix: the
// prefix with its last byte below 0xff incremented. An empty prefix covers all keys.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
