package infra

import (
	"errors"

	"github.com/barleylift/barleylift/internal/infra/etcdjson"
)

func entryOf(kv etcdjson.KeyValue) Entry {
	return Entry{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: kv.CreateRevision,
		ModRevision:    kv.ModRevision,
		Lease:          LeaseID(kv.Lease),
	}
}

func entriesOf(kvs []etcdjson.KeyValue) []Entry {
	entries := make([]Entry, len(kvs))
	for i, kv := range kvs {
		entries[i] = entryOf(kv)
	}
	return entries
}

func rangeOf(prefix string) etcdjson.RangeRequest {
	key := []byte(prefix)
	if prefix == "" {
		key = []byte{0}
	}
	return etcdjson.RangeRequest{Key: key, RangeEnd: etcdjson.PrefixEnd(prefix)}
}

func txnRequest(txn Txn) etcdjson.TxnRequest {
	request := etcdjson.TxnRequest{Success: requestOps(txn.Then), Failure: requestOps(txn.Else)}
	for _, c := range txn.If {
		request.Compare = append(request.Compare, compareOf(c))
	}
	return request
}

func compareOf(c Compare) etcdjson.Compare {
	compare := etcdjson.Compare{Result: etcdjson.ResultEqual, Key: []byte(c.Key)}
	switch c.Target {
	case CompareCreateRevision:
		compare.Target = etcdjson.TargetCreate
		compare.CreateRevision = &c.Revision
	case CompareModRevision:
		compare.Target = etcdjson.TargetMod
		compare.ModRevision = &c.Revision
	case CompareValue:
		compare.Target = etcdjson.TargetValue
		compare.Value = c.Value
	}
	return compare
}

func requestOps(ops []Op) []etcdjson.RequestOp {
	requests := make([]etcdjson.RequestOp, len(ops))
	for i, op := range ops {
		requests[i] = requestOp(op)
	}
	return requests
}

func requestOp(op Op) etcdjson.RequestOp {
	scope := etcdjson.RangeRequest{Key: []byte(op.Key)}
	if op.Prefix {
		scope = rangeOf(op.Key)
	}
	switch op.Kind {
	case OpPut:
		return etcdjson.RequestOp{Put: &etcdjson.PutRequest{Key: scope.Key, Value: op.Value, Lease: int64(op.Lease)}}
	case OpDelete:
		return etcdjson.RequestOp{Delete: &etcdjson.DeleteRangeRequest{Key: scope.Key, RangeEnd: scope.RangeEnd}}
	default:
		return etcdjson.RequestOp{Range: &scope}
	}
}

// txnResult converts a response. If it does not match the transaction, the error
// is Ambiguous.
func txnResult(txn Txn, response etcdjson.TxnResponse) (TxnResult, error) {
	branch := txn.Else
	if response.Succeeded {
		branch = txn.Then
	}
	if len(response.Responses) != len(branch) {
		return TxnResult{}, &Error{Op: "txn", Kind: Ambiguous, Err: errors.New("response does not match the operations")}
	}
	reads := make([][]Entry, len(branch))
	for i, op := range branch {
		if op.Kind != OpGet {
			continue
		}
		reads[i] = []Entry{}
		if r := response.Responses[i].Range; r != nil {
			reads[i] = entriesOf(r.KVs)
		}
	}
	return TxnResult{Succeeded: response.Succeeded, Revision: response.Header.Revision, Reads: reads}, nil
}
