package fake

import (
	"bytes"
	"errors"

	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/infra/etcdjson"
)

var errBadRequest = errors.New("request is not supported")

// scopeOf returns the key or the prefix that a range covers; other ranges are
// an error.
func scopeOf(key, end []byte) (scope string, prefix bool, err error) {
	switch {
	case len(key) == 0:
		return "", false, &infra.Error{Kind: infra.Refused, Err: errBadRequest}
	case len(end) == 0:
		return string(key), false, nil
	case bytes.Equal(key, []byte{0}) && bytes.Equal(end, []byte{0}):
		return "", true, nil
	case bytes.Equal(end, etcdjson.PrefixEnd(string(key))):
		return string(key), true, nil
	default:
		return "", false, &infra.Error{Kind: infra.Refused, Err: errBadRequest}
	}
}

func kvsOf(entries []infra.Entry) []etcdjson.KeyValue {
	var kvs []etcdjson.KeyValue
	for _, e := range entries {
		kvs = append(kvs, kvOf(e))
	}
	return kvs
}

func kvOf(e infra.Entry) etcdjson.KeyValue {
	return etcdjson.KeyValue{
		Key:            []byte(e.Key),
		Value:          e.Value,
		CreateRevision: e.CreateRevision,
		ModRevision:    e.ModRevision,
		Lease:          int64(e.Lease),
	}
}

func eventsOf(events []infra.WatchEvent) []etcdjson.Event {
	converted := make([]etcdjson.Event, len(events))
	for i, e := range events {
		converted[i].KV = kvOf(e.Entry)
		if e.Deleted {
			converted[i].Type = etcdjson.EventDelete
		}
	}
	return converted
}

func txnOf(q etcdjson.TxnRequest) (infra.Txn, error) {
	var txn infra.Txn
	for _, c := range q.Compare {
		compare, err := compareOf(c)
		if err != nil {
			return infra.Txn{}, err
		}
		txn.If = append(txn.If, compare)
	}
	var err error
	if txn.Then, err = opsOf(q.Success); err != nil {
		return infra.Txn{}, err
	}
	txn.Else, err = opsOf(q.Failure)
	return txn, err
}

func compareOf(c etcdjson.Compare) (infra.Compare, error) {
	compare := infra.Compare{Key: string(c.Key)}
	switch {
	case c.Result != etcdjson.ResultEqual:
		return compare, &infra.Error{Kind: infra.Refused, Err: errBadRequest}
	case c.Target == etcdjson.TargetCreate:
		compare.Target = infra.CompareCreateRevision
		compare.Revision = revisionOf(c.CreateRevision)
	case c.Target == etcdjson.TargetMod:
		compare.Target = infra.CompareModRevision
		compare.Revision = revisionOf(c.ModRevision)
	default:
		compare.Target = infra.CompareValue
		compare.Value = c.Value
	}
	return compare, nil
}

func revisionOf(r *int64) int64 {
	if r == nil {
		return 0
	}
	return *r
}

func opsOf(requests []etcdjson.RequestOp) ([]infra.Op, error) {
	ops := make([]infra.Op, len(requests))
	for i, q := range requests {
		op, err := opOf(q)
		if err != nil {
			return nil, err
		}
		ops[i] = op
	}
	return ops, nil
}

func opOf(q etcdjson.RequestOp) (op infra.Op, err error) {
	switch {
	case q.Put != nil:
		return infra.Op{Kind: infra.OpPut, Key: string(q.Put.Key), Value: q.Put.Value, Lease: infra.LeaseID(q.Put.Lease)}, nil
	case q.Delete != nil:
		op.Kind = infra.OpDelete
		op.Key, op.Prefix, err = scopeOf(q.Delete.Key, q.Delete.RangeEnd)
		return op, err
	case q.Range != nil:
		op.Kind = infra.OpGet
		op.Key, op.Prefix, err = scopeOf(q.Range.Key, q.Range.RangeEnd)
		return op, err
	default:
		return op, &infra.Error{Kind: infra.Refused, Err: errBadRequest}
	}
}
