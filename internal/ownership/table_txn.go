package ownership

import (
	"time"

	"github.com/barleylift/barleylift/internal/infra"
)

// workTxn returns the transaction that does the work. A create requires the
// incarnation's member key and has no effect if it arrives after the incarnation
// has ended; a delete requires the token.
func (t *table) workTxn(w work) infra.Txn {
	if w.phase == waiting {
		return t.createTxn(w)
	}
	var txn infra.Txn
	for _, i := range w.items {
		name := ownerKey(i.key)
		if w.phase == readBackDue {
			txn.Then = append(txn.Then, infra.Read(name))
			continue
		}
		txn.If = append(txn.If, infra.CreatedAt(name, int64(i.token)))
		txn.Then = append(txn.Then, infra.Delete(name))
		txn.Else = append(txn.Else, infra.Read(name))
	}
	return txn
}

func (t *table) createTxn(w work) infra.Txn {
	key := memberKey(t.self.Name)
	txn := infra.Txn{
		If:   []infra.Compare{infra.CreatedAt(key, w.incarnation.revision)},
		Else: []infra.Op{infra.Read(key)},
	}
	for _, i := range w.items {
		addCreate(&txn, i.key, t.self, w.incarnation.lease)
	}
	return txn
}

// addCreate adds the creation of an owner key to a transaction.
func addCreate(txn *infra.Txn, key resourceKey, self Member, lease infra.LeaseID) {
	name := ownerKey(key)
	value := encode(Owner{Member: self.Name, PeerAddress: self.PeerAddress})
	txn.If = append(txn.If, infra.Absent(name))
	txn.Then = append(txn.Then, infra.Op{Kind: infra.OpPut, Key: name, Value: value, Lease: lease})
	txn.Else = append(txn.Else, infra.Read(name))
}

// announceTxn returns the transaction that creates the member key and, with
// it, owner keys that the daemon held before.
func announceTxn(lease infra.LeaseID, self Member, previouslyOwned []Resource) infra.Txn {
	key := memberKey(self.Name)
	txn := infra.Txn{
		If:   []infra.Compare{infra.Absent(key)},
		Then: []infra.Op{{Kind: infra.OpPut, Key: key, Value: encode(self), Lease: lease}},
		Else: []infra.Op{infra.Read(key)},
	}
	for _, r := range previouslyOwned {
		addCreate(&txn, keyOf(r), self, lease)
	}
	return txn
}

// applyResult applies the result of the transaction that did the work. An error
// names an owner key that can't be decoded; it counts as another daemon's.
func (t *table) applyResult(now time.Time, w work, result infra.TxnResult) error {
	if result.Succeeded && w.phase != readBackDue {
		t.applySuccess(now, w, result.Revision)
		return nil
	}
	reads := result.Reads
	if w.phase == waiting {
		reads = reads[1:]
	}
	var decodeErr error
	for i, item := range w.items {
		read, err := parseReadBack(item.key, firstOf(reads[i]))
		if err != nil {
			decodeErr = err
		}
		t.applyRead(now, w, item, read, result.Revision)
	}
	return decodeErr
}

// parseReadBack returns the state of an owner key that was read; with the zero
// owner if it is absent.
func parseReadBack(key resourceKey, e infra.Entry) (ownerKeyState, error) {
	if !e.Exists() {
		return ownerKeyState{key: key}, nil
	}
	read, err := parseOwner(e)
	if err != nil {
		owner := Owner{Member: unknownMember, Token: Token(e.CreateRevision)}
		return ownerKeyState{key: key, lease: e.Lease, modRevision: e.ModRevision, owner: owner}, err
	}
	return read, nil
}

// unknownMember is the owner's name if the value can't be decoded.
const unknownMember = "?"

func firstOf(entries []infra.Entry) infra.Entry {
	if len(entries) == 0 {
		return infra.Entry{}
	}
	return entries[0]
}
